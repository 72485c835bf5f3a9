//! Encoding and decoding of frames (specification 4.2.3): type, channel, size, payload and end octet.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::method::{Method, MethodError};
use crate::properties::Properties;
use crate::reply::{Code, Fault};
use crate::wire::{Reader, SyntaxError, Writer};

/// Bytes of a frame besides its payload: the header and the end octet.
pub const OVERHEAD: usize = 8;
/// The smallest `frame-max` that may be negotiated, in bytes.
pub const FRAME_MIN_SIZE: u32 = 4096;
/// The octet that ends every frame.
const FRAME_END: u8 = 0xce;
/// Bytes before the payload: type, channel and size.
const HEADER_SIZE: usize = 7;
/// Bytes of the size field, which is the last of the header.
const SIZE_LENGTH: usize = 4;
/// Largest frame in bytes if the negotiated limit is 0, which means that there is none.
const UNLIMITED_FRAME_MAX: usize = 16 << 20;

const METHOD: u8 = 1;
const HEADER: u8 = 2;
const BODY: u8 = 3;
const HEARTBEAT: u8 = 8;

/// The payload of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// A method with its arguments.
    Method(Method),
    /// The content header that follows a method with content.
    Header {
        /// Class of the method that it follows.
        class_id: u16,
        /// Bytes of the body, which follows in body frames.
        body_size: u64,
        /// Properties of the content.
        properties: Box<Properties>,
    },
    /// A part of the body of a content.
    Body(Bytes),
    /// A heartbeat, which only shows that the peer runs.
    Heartbeat,
}

/// A frame with its channel.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Number of the channel; 0 is the connection itself.
    pub channel: u16,
    /// Type and content of the frame.
    pub payload: Payload,
}

impl Frame {
    /// Appends the encoded frame to `output`.
    pub fn write(&self, output: &mut BytesMut) {
        let frame_type = match self.payload {
            Payload::Method(_) => METHOD,
            Payload::Header { .. } => HEADER,
            Payload::Body(_) => BODY,
            Payload::Heartbeat => HEARTBEAT,
        };
        output.put_u8(frame_type);
        output.put_u16(self.channel);
        // The size is written once the payload is encoded.
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
        output[start - SIZE_LENGTH..start].copy_from_slice(&size.to_be_bytes());
        output.put_u8(FRAME_END);
    }
}

/// Decodes the frames in a stream of bytes.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: BytesMut,
    /// Largest frame that is accepted, in bytes, header and end octet included.
    frame_max: usize,
}

impl FrameDecoder {
    /// Creates a decoder that accepts frames of up to `frame_max` bytes.
    pub fn new(frame_max: u32) -> Self {
        FrameDecoder {
            buffer: BytesMut::new(),
            frame_max: frame_max as usize,
        }
    }

    /// Sets the negotiated limit in bytes; 0 (no limit) is treated as 16 MiB.
    pub fn set_frame_max(&mut self, frame_max: u32) {
        self.frame_max = if frame_max == 0 {
            UNLIMITED_FRAME_MAX
        } else {
            frame_max as usize
        };
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns `count` bytes that are not part of a frame, which is how the protocol header is read.
    /// Returns `None` until they are buffered.
    pub fn take_raw(&mut self, count: usize) -> Option<BytesMut> {
        (self.buffer.len() >= count).then(|| self.buffer.split_to(count))
    }

    /// Whether the stream may begin with `expected`: the buffered bytes, of which there may be fewer, do not differ
    /// from it.
    pub fn could_begin_with(&self, expected: &[u8]) -> bool {
        self.buffer.iter().zip(expected).all(|(a, b)| a == b)
    }

    /// Removes and returns the next frame; `None` until it is complete.
    ///
    /// # Errors
    /// The frame cannot be decoded or is too large. The connection must then be closed, because the boundaries of later
    /// frames are unknown.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Fault> {
        let Some(header) = self.buffer.first_chunk::<HEADER_SIZE>() else {
            return Ok(None);
        };
        let [frame_type, c0, c1, s0, s1, s2, s3] = *header;
        let channel = u16::from_be_bytes([c0, c1]);
        let size = u32::from_be_bytes([s0, s1, s2, s3]) as usize;
        if !matches!(frame_type, METHOD | HEADER | BODY | HEARTBEAT) {
            return Err(Fault::new(
                Code::FrameError,
                format!("unknown frame type {frame_type}"),
            ));
        }
        // Checked before the payload has arrived, so that no peer can make this end buffer more than a frame.
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
        self.buffer.advance(HEADER_SIZE);
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
        match frame_type {
            METHOD => decode_method(&bytes),
            HEADER => decode_content_header(&bytes)
                .map_err(|error| Fault::new(Code::SyntaxError, format!("content header: {error}"))),
            BODY => Ok(Payload::Body(bytes)),
            _ if channel != 0 => Err(Fault::new(Code::CommandInvalid, "heartbeat on a channel")),
            _ if !bytes.is_empty() => {
                Err(Fault::new(Code::SyntaxError, "heartbeat with a payload"))
            }
            _ => Ok(Payload::Heartbeat),
        }
    }
}

fn decode_method(bytes: &[u8]) -> Result<Payload, Fault> {
    match Method::read(bytes) {
        Ok(method) => Ok(Payload::Method(method)),
        Err(error @ MethodError::Unknown(id)) => Err(Fault {
            class_id: id.class_id,
            method_id: id.method_id,
            ..Fault::new(Code::NotImplemented, error.to_string())
        }),
        Err(error @ MethodError::Syntax { .. }) => {
            Err(Fault::new(Code::SyntaxError, error.to_string()))
        }
    }
}

fn decode_content_header(bytes: &[u8]) -> Result<Payload, SyntaxError> {
    let mut reader = Reader::new(bytes);
    let class_id = reader.u16()?;
    // The weight, which the specification reserves.
    reader.u16()?;
    let body_size = reader.u64()?;
    let properties = Box::new(Properties::read(&mut reader)?);
    reader.finish()?;
    Ok(Payload::Header {
        class_id,
        body_size,
        properties,
    })
}
