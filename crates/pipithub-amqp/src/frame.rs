//! Frames (specification 4.2.3): type, channel, size, payload, end octet.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::method::{Method, MethodError};
use crate::properties::Properties;
use crate::reply::{Code, Fault};
use crate::wire::{Reader, Writer};

/// Bytes of a frame beside its payload.
pub const OVERHEAD: usize = 8;
/// The least frame-max that may be negotiated.
pub const FRAME_MIN_SIZE: u32 = 4096;
const FRAME_END: u8 = 0xce;

/// What a frame carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// A method.
    Method(Method),
    /// The header of a content.
    Header {
        /// The class of the method that it follows.
        class_id: u16,
        /// Bytes of body to come.
        body_size: u64,
        /// Its properties.
        properties: Box<Properties>,
    },
    /// A part of a body.
    Body(Bytes),
    /// A sign of life.
    Heartbeat,
}

/// A frame on its channel.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The channel; 0 is the connection itself.
    pub channel: u16,
    /// What it carries.
    pub payload: Payload,
}

impl Frame {
    /// Appends the frame's bytes.
    pub fn write(&self, output: &mut BytesMut) {
        let frame_type = match self.payload {
            Payload::Method(_) => 1,
            Payload::Header { .. } => 2,
            Payload::Body(_) => 3,
            Payload::Heartbeat => 8,
        };
        output.put_u8(frame_type);
        output.put_u16(self.channel);
        output.put_u32(0);
        let start = output.len();
        match &self.payload {
            Payload::Method(method) => method.write(&mut Writer::new(output)),
            Payload::Header {
                class_id,
                body_size,
                properties,
            } => {
                let mut writer = Writer::new(output);
                writer.u16(*class_id);
                writer.u16(0);
                writer.u64(*body_size);
                properties.write(&mut writer);
            }
            Payload::Body(bytes) => output.put_slice(bytes),
            Payload::Heartbeat => {}
        }
        let size = (output.len() - start) as u32;
        output[start - 4..start].copy_from_slice(&size.to_be_bytes());
        output.put_u8(FRAME_END);
    }
}

/// Cuts a stream of bytes into frames.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: BytesMut,
    /// The largest frame taken, all of its bytes counted.
    frame_max: usize,
}

impl FrameDecoder {
    /// Takes frames of at most so many bytes.
    pub fn new(frame_max: u32) -> Self {
        FrameDecoder {
            buffer: BytesMut::new(),
            frame_max: frame_max as usize,
        }
    }

    /// Sets the negotiated limit; 0 stands for none and is taken as 16 MiB.
    pub fn set_frame_max(&mut self, frame_max: u32) {
        self.frame_max = if frame_max == 0 {
            16 << 20
        } else {
            frame_max as usize
        };
    }

    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes `count` raw bytes, where they have come: the protocol header.
    pub fn take_raw(&mut self, count: usize) -> Option<BytesMut> {
        (self.buffer.len() >= count).then(|| self.buffer.split_to(count))
    }

    /// Whether the bytes that wait could still begin with these.
    pub fn could_begin_with(&self, expected: &[u8]) -> bool {
        self.buffer.iter().zip(expected).all(|(a, b)| a == b)
    }

    /// The next whole frame. Any fault ends the connection: no later byte can be trusted.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Fault> {
        let Some(header) = self.buffer.first_chunk::<7>() else {
            return Ok(None);
        };
        let [frame_type, c0, c1, s0, s1, s2, s3] = *header;
        let channel = u16::from_be_bytes([c0, c1]);
        let size = u32::from_be_bytes([s0, s1, s2, s3]) as usize;
        if !matches!(frame_type, 1 | 2 | 3 | 8) {
            return Err(Fault::new(
                Code::FrameError,
                format!("unknown frame type {frame_type}"),
            ));
        }
        // Checked before the bytes have come: no peer can make this end buffer more than a frame.
        if size.saturating_add(OVERHEAD) > self.frame_max {
            let text = format!(
                "frame of {size} bytes is beyond frame-max {}",
                self.frame_max
            );
            return Err(Fault::new(Code::FrameError, text));
        }
        if self.buffer.len() < size + OVERHEAD {
            return Ok(None);
        }
        self.buffer.advance(7);
        let payload = self.buffer.split_to(size).freeze();
        if self.buffer.get_u8() != FRAME_END {
            return Err(Fault::new(Code::FrameError, "frame end octet is missing"));
        }
        Ok(Some(Frame {
            channel,
            payload: Self::decode_payload(frame_type, channel, payload)?,
        }))
    }

    fn decode_payload(frame_type: u8, channel: u16, bytes: Bytes) -> Result<Payload, Fault> {
        Ok(match frame_type {
            1 => Payload::Method(Method::read(&bytes).map_err(|e| match e {
                MethodError::Unknown(class_id, method_id) => Fault {
                    class_id,
                    method_id,
                    ..Fault::new(Code::NotImplemented, e.to_string())
                },
                MethodError::Syntax(..) => Fault::new(Code::SyntaxError, e.to_string()),
            })?),
            2 => {
                let mut reader = Reader::new(&bytes);
                let mut read = || {
                    let class_id = reader.u16()?;
                    reader.u16()?;
                    let body_size = reader.u64()?;
                    let properties = Box::new(Properties::read(&mut reader)?);
                    reader.finish()?;
                    Ok(Payload::Header {
                        class_id,
                        body_size,
                        properties,
                    })
                };
                let read: Result<Payload, crate::wire::SyntaxError> = read();
                read.map_err(|e| Fault::new(Code::SyntaxError, format!("content header: {e}")))?
            }
            3 => Payload::Body(bytes),
            _ if channel != 0 => {
                return Err(Fault::new(Code::CommandInvalid, "heartbeat on a channel"));
            }
            _ if !bytes.is_empty() => {
                return Err(Fault::new(Code::SyntaxError, "heartbeat with a payload"));
            }
            _ => Payload::Heartbeat,
        })
    }
}
