//! The parts of the client protocol (MessagePack-RPC) that the rig's clients use: calls, cancellations and
//! the readiness query.

use rmpv::Value;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A call that requests one part of an object.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The message number of the call, unique on its connection.
    pub number: u32,
    /// The request class, which is sent as the method name.
    pub class: &'a str,
    /// The trace id (`trace`).
    pub trace: u64,
    /// The object number (`entity`).
    pub object: u64,
    /// The index of the requested part of the object (`slice`).
    pub part: u64,
    /// The set to which the object belongs.
    pub set: u64,
    /// The size of the part as stated by the client.
    pub size: u64,
    /// How long the client waits for the answer, in milliseconds (`patience`).
    pub patience_ms: u64,
    /// The length of the request body, in bytes.
    pub body_len: usize,
}

impl Call<'_> {
    /// Encodes the call as it is sent to a front.
    pub fn encode(&self) -> Vec<u8> {
        let fields = string_map(&[
            ("trace", format!("{:016x}", self.trace)),
            ("patience", self.patience_ms.to_string()),
            ("entity", format!("{:016x}", self.object)),
            ("slice", self.part.to_string()),
            ("set", self.set.to_string()),
            ("size", self.size.to_string()),
        ]);
        let params = Value::Array(vec![fields, Value::Binary(vec![b'w'; self.body_len])]);
        encode_value(&Value::Array(vec![0.into(), self.number.into(), self.class.into(), params]))
    }
}

/// Encodes the notification that cancels the call with this number.
pub fn encode_cancellation(number: u32) -> Vec<u8> {
    encode_value(&Value::Array(vec![2.into(), "forget".into(), Value::Array(vec![number.into()])]))
}

/// Queries whether a front is ready (`isWell`). A connection that ends without an answer means that the front
/// is not ready.
///
/// # Errors
/// The connection can't be made, or it fails.
pub async fn is_ready(front: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(front).await?;
    let call = Value::Array(vec![0.into(), 1.into(), "isWell".into(), Value::Array(vec![string_map(&[])])]);
    stream.write_all(&encode_value(&call)).await?;
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await? > 0 {
        if let Ok(value) = rmpv::decode::read_value(&mut &received[..]) {
            return Ok(value[3][0].as_bool() == Some(true));
        }
    }
    Ok(false)
}

fn string_map(fields: &[(&str, String)]) -> Value {
    Value::Map(fields.iter().map(|(k, v)| ((*k).into(), v.as_str().into())).collect())
}

fn encode_value(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector does not fail.
    let _ = rmpv::encode::write_value(&mut bytes, value);
    bytes
}
