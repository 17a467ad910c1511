//! Links between processes: frames over TCP, length-delimited by library.

pub mod inbound;
pub mod outbound;

pub use outbound::Links;

pub(crate) fn codec() -> tokio_util::codec::LengthDelimitedCodec {
    tokio_util::codec::LengthDelimitedCodec::builder()
        .max_frame_length(crate::message::MAX_FRAME_BYTES)
        .new_codec()
}
