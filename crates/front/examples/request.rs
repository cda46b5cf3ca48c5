//! A client that requests one object from the front of `examples/config.json`. Usage: `request [OBJECT]`,
//! with the object's id as 16 hex digits.

use rmpv::Value;
use std::net::TcpStream;
use std::time::{SystemTime, UNIX_EPOCH};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let object = std::env::args().nth(1).unwrap_or("7f3a9c21e0b4d655".into());
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_nanos();
    let trace = format!("{:016x}", now as u64);
    let fields = [
        ("trace", trace.as_str()),
        ("patience", "1500"),
        ("entity", &object),
        ("slice", "0"),
        ("set", "1"),
        ("size", "40"),
    ];
    let fields = Value::Map(fields.iter().map(|(k, v)| ((*k).into(), (*v).into())).collect());
    let params = Value::Array(vec![fields, Value::Binary(Vec::new())]);
    let call = Value::Array(vec![0.into(), 1.into(), "statement-docs".into(), params]);
    let mut stream = TcpStream::connect("127.0.0.1:4100")?;
    rmpv::encode::write_value(&mut stream, &call)?;
    let answer = rmpv::decode::read_value(&mut stream)?;
    match &answer[3][0] {
        Value::Binary(body) => print!("{}", String::from_utf8_lossy(body)),
        _ => println!("{answer}"),
    }
    Ok(())
}
