//! MessagePack values: maps keyed by text, lists, text, numbers, booleans and null.

#[derive(Debug, Clone, PartialEq)]
pub enum V {
    Nil,
    Bool(bool),
    Int(u64),
    Neg(i64),
    F(f64),
    S(String),
    A(Vec<V>),
    M(Vec<(String, V)>),
}

pub fn s(text: &str) -> V {
    V::S(text.to_owned())
}

pub fn map(entries: Vec<(&str, V)>) -> V {
    V::M(
        entries
            .into_iter()
            .map(|(k, v)| (k.to_owned(), v))
            .collect(),
    )
}

impl V {
    pub fn get(&self, key: &str) -> &V {
        match self {
            V::M(entries) => entries
                .iter()
                .find(|(k, _)| k == key)
                .map_or(&V::Nil, |(_, v)| v),
            _ => &V::Nil,
        }
    }
    pub fn str(&self) -> Option<&str> {
        match self {
            V::S(text) => Some(text),
            _ => None,
        }
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            V::Int(n) => Some(*n),
            V::F(f) if *f >= 0.0 => Some(*f as u64),
            _ => None,
        }
    }
    pub fn f64(&self) -> Option<f64> {
        match self {
            V::Int(n) => Some(*n as f64),
            V::Neg(n) => Some(*n as f64),
            V::F(f) => Some(*f),
            _ => None,
        }
    }
    pub fn list(&self) -> &[V] {
        match self {
            V::A(items) => items,
            _ => &[],
        }
    }

    /// JSON text, for the record and for size limits, which are counted in this form.
    pub fn json(&self) -> String {
        match self {
            V::Nil => "null".into(),
            V::Bool(b) => b.to_string(),
            V::Int(n) => n.to_string(),
            V::Neg(n) => n.to_string(),
            V::F(f) => format!("{f:?}"),
            V::S(text) => format!("{text:?}"),
            V::A(items) => {
                let items: Vec<String> = items.iter().map(V::json).collect();
                format!("[{}]", items.join(","))
            }
            V::M(entries) => {
                let entries: Vec<String> = entries
                    .iter()
                    .map(|(k, v)| format!("{k:?}:{}", v.json()))
                    .collect();
                format!("{{{}}}", entries.join(","))
            }
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            V::Nil => out.push(0xc0),
            V::Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
            V::Int(n) if *n < 128 => out.push(*n as u8),
            V::Int(n) => {
                out.push(0xcf);
                out.extend(n.to_be_bytes());
            }
            V::Neg(n) => {
                out.push(0xd3);
                out.extend(n.to_be_bytes());
            }
            V::F(f) => {
                out.push(0xcb);
                out.extend(f.to_be_bytes());
            }
            V::S(text) => {
                write_text(text, out);
            }
            V::A(items) => {
                out.push(0xdd);
                out.extend((items.len() as u32).to_be_bytes());
                for item in items {
                    item.write(out);
                }
            }
            V::M(entries) => {
                if entries.len() < 16 {
                    out.push(0x80 | entries.len() as u8);
                } else {
                    out.push(0xdf);
                    out.extend((entries.len() as u32).to_be_bytes());
                }
                for (key, value) in entries {
                    write_text(key, out);
                    value.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        read(bytes, &mut at)
    }
}

fn write_text(text: &str, out: &mut Vec<u8>) {
    if text.len() < 32 {
        out.push(0xa0 | text.len() as u8);
    } else {
        out.push(0xdb);
        out.extend((text.len() as u32).to_be_bytes());
    }
    out.extend(text.as_bytes());
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, count: usize) -> Option<&'a [u8]> {
    let part = bytes.get(*at..at.checked_add(count)?)?;
    *at += count;
    Some(part)
}

fn number(bytes: &[u8], at: &mut usize, width: usize) -> Option<u64> {
    let part = take(bytes, at, width)?;
    Some(part.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
}

fn text(bytes: &[u8], at: &mut usize, length: usize) -> Option<V> {
    let part = take(bytes, at, length)?;
    Some(V::S(String::from_utf8(part.to_vec()).ok()?))
}

fn items(bytes: &[u8], at: &mut usize, count: usize) -> Option<V> {
    let mut items = Vec::new();
    for _ in 0..count {
        items.push(read(bytes, at)?);
    }
    Some(V::A(items))
}

fn entries(bytes: &[u8], at: &mut usize, count: usize) -> Option<V> {
    let mut entries = Vec::new();
    for _ in 0..count {
        let V::S(key) = read(bytes, at)? else {
            return None;
        };
        entries.push((key, read(bytes, at)?));
    }
    Some(V::M(entries))
}

fn signed(n: u64, width: u32) -> V {
    let shift = 64 - width * 8;
    let n = ((n << shift) as i64) >> shift;
    if n < 0 {
        V::Neg(n)
    } else {
        V::Int(n as u64)
    }
}

fn read(bytes: &[u8], at: &mut usize) -> Option<V> {
    let tag = number(bytes, at, 1)? as u8;
    Some(match tag {
        0x00..=0x7f => V::Int(u64::from(tag)),
        0x80..=0x8f => entries(bytes, at, usize::from(tag & 15))?,
        0x90..=0x9f => items(bytes, at, usize::from(tag & 15))?,
        0xa0..=0xbf => text(bytes, at, usize::from(tag & 31))?,
        0xc0 => V::Nil,
        0xc2 => V::Bool(false),
        0xc3 => V::Bool(true),
        0xca => V::F(f64::from(f32::from_bits(number(bytes, at, 4)? as u32))),
        0xcb => V::F(f64::from_bits(number(bytes, at, 8)?)),
        0xcc => V::Int(number(bytes, at, 1)?),
        0xcd => V::Int(number(bytes, at, 2)?),
        0xce => V::Int(number(bytes, at, 4)?),
        0xcf => V::Int(number(bytes, at, 8)?),
        0xd0 => signed(number(bytes, at, 1)?, 1),
        0xd1 => signed(number(bytes, at, 2)?, 2),
        0xd2 => signed(number(bytes, at, 4)?, 4),
        0xd3 => signed(number(bytes, at, 8)?, 8),
        0xd9..=0xdb => {
            let length = number(bytes, at, 1 << (tag - 0xd9))? as usize;
            text(bytes, at, length)?
        }
        0xdc | 0xdd => {
            let count = number(bytes, at, if tag == 0xdc { 2 } else { 4 })? as usize;
            items(bytes, at, count)?
        }
        0xde | 0xdf => {
            let count = number(bytes, at, if tag == 0xde { 2 } else { 4 })? as usize;
            entries(bytes, at, count)?
        }
        0xe0..=0xff => V::Neg(i64::from(tag as i8)),
        _ => return None,
    })
}
