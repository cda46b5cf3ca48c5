//! The client protocol (MessagePack-RPC) as the rig's clients speak it: calls, cancellations and the readiness query.

use rmpv::Value;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// One request for a part of an object.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The call's number on its connection.
    pub number: u32,
    /// The request class.
    pub class: &'a str,
    /// The trace id.
    pub trace: u64,
    /// The object.
    pub object: u64,
    /// The part of the object (`slice`).
    pub part: u64,
    /// The object's set.
    pub set: u64,
    /// The size that the client names.
    pub size: u64,
    /// How long the client waits, in milliseconds.
    pub patience_ms: u64,
    /// Length of the request body, in bytes.
    pub body_len: usize,
}

impl Call<'_> {
    /// The bytes of the call.
    pub fn encode(&self) -> Vec<u8> {
        let fields = map(&[
            ("trace", format!("{:016x}", self.trace)),
            ("patience", self.patience_ms.to_string()),
            ("entity", format!("{:016x}", self.object)),
            ("slice", self.part.to_string()),
            ("set", self.set.to_string()),
            ("size", self.size.to_string()),
        ]);
        let params = Value::Array(vec![fields, Value::Binary(vec![b'w'; self.body_len])]);
        encode(&Value::Array(vec![0.into(), self.number.into(), self.class.into(), params]))
    }
}

/// The bytes of the notification that cancels a call.
pub fn encode_cancellation(number: u32) -> Vec<u8> {
    encode(&Value::Array(vec![2.into(), "forget".into(), Value::Array(vec![number.into()])]))
}

/// Asks a front whether it is ready (`isWell`).
///
/// # Errors
/// The connection fails.
pub async fn is_ready(front: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(front).await?;
    let call = Value::Array(vec![0.into(), 1.into(), "isWell".into(), Value::Array(vec![map(&[])])]);
    stream.write_all(&encode(&call)).await?;
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await? > 0 {
        if let Ok(value) = rmpv::decode::read_value(&mut &received[..]) {
            return Ok(value[3][0].as_bool() == Some(true));
        }
    }
    Ok(false)
}

fn map(fields: &[(&str, String)]) -> Value {
    Value::Map(fields.iter().map(|(k, v)| ((*k).into(), v.as_str().into())).collect())
}

fn encode(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    let _ = rmpv::encode::write_value(&mut bytes, value);
    bytes
}
