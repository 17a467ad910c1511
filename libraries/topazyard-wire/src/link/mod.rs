//! Links between processes: length-delimited frames over TCP.

pub mod inbound;
pub mod outbound;

pub use outbound::Links;

pub(crate) fn codec() -> tokio_util::codec::LengthDelimitedCodec {
    tokio_util::codec::LengthDelimitedCodec::builder()
        .max_frame_length(crate::message::MAX_FRAME_BYTES)
        .new_codec()
}
