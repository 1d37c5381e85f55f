//! A TCP proxy on loopback that can be cut. While it is cut it stays silent: bytes are held back in
//! both directions and new connections get nothing.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
        let flag = cut.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let flag = flag.clone();
                std::thread::spawn(move || forward(stream, target, &flag));
            }
        });
        Ok(Proxy { address, cut })
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn hold(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn forward(client: TcpStream, target: SocketAddr, cut: &Arc<AtomicBool>) {
    hold(cut);
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (Ok(client_2), Ok(server_2)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let flag = cut.clone();
    std::thread::spawn(move || copy(server_2, client_2, &flag));
    copy(client, server, cut);
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut chunk = [0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut chunk) else {
            break;
        };
        hold(cut);
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
