//! Control messages between daemons, encoded as length-delimited protocol buffers.
//!
//! Every message carries the sender's [`Stamps`], so that the receiver of any message
//! learns whether its own state is outdated. The structs derive [`prost::Message`]; there is
//! no `.proto` file and no code generation step.

use derive_more::Display;
use prost::Message;
use prost::bytes::Bytes;

/// Maximum size of a control frame, in bytes; the full instance list of a large fleet fits.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// A control message with its sender's identity and state versions.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Instance id of the sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Generation of the sender; see [`Note::generation`].
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// Advertised control address of the sender, set if the receiver may not know it.
    #[prost(string, tag = "3")]
    pub reply_to: String,
    /// Versions of the newest state that the sender holds.
    #[prost(message, required, tag = "4")]
    pub stamps: Stamps,
    /// Membership updates, disseminated by gossip.
    #[prost(message, repeated, tag = "5")]
    pub notes: Vec<Note>,
    /// Data centres that the sender has heard from, most recently heard first.
    #[prost(message, repeated, tag = "6")]
    pub reach: Vec<Reach>,
    /// True if the sender is shutting down and accepts no new requests.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// The request or response; `None` in a pure announcement.
    #[prost(oneof = "Body", tags = "8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}

/// Request or response that a control message carries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Probes the receiver, which answers with an [`Ack`].
    #[prost(message, tag = "8")]
    Ping(Ping),
    /// Answers a [`Ping`].
    #[prost(message, tag = "9")]
    Ack(Ack),
    /// Asks the receiver to ping a third daemon and to forward its answer.
    #[prost(message, tag = "10")]
    PingRequest(PingRequest),
    /// Answers a [`PingRequest`] if the third daemon did not answer.
    #[prost(message, tag = "14")]
    Nack(Nack),
    /// Requests newer state.
    #[prost(message, tag = "11")]
    Pull(Pull),
    /// Changes from the requester's state to a newer one.
    #[prost(message, tag = "12")]
    Delta(Delta),
    /// A complete state.
    #[prost(message, tag = "13")]
    Whole(Whole),
}

/// Versions of the newest document and instance list that a daemon holds.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Stamps {
    /// Version of the document; `None` if the daemon has none.
    #[prost(message, optional, tag = "1")]
    pub document: Option<Stamp>,
    /// Version of the instance list; `None` if the daemon has none.
    #[prost(message, optional, tag = "2")]
    pub instances: Option<Stamp>,
}

/// Version of a state: its revision and the digest of its content.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Stamp {
    /// Revision that the platform assigned.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Digest of the content in canonical form.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// A membership update about one daemon.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Note {
    /// Instance id of the member.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Incarnation number: the start time of the member's process, in milliseconds since the Unix
    /// epoch. The member increases it to refute an update about itself.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// Membership state, a [`Claim`].
    #[prost(enumeration = "Claim", tag = "3")]
    pub claim: i32,
}

/// Membership state in a [`Note`]; within one generation, the greater claim takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Claim {
    /// The member answers probes.
    Live = 0,
    /// The member did not answer probes.
    Suspect = 1,
    /// The member is shutting down and accepts no new requests.
    Leaving = 2,
    /// The member has failed or exited.
    Dead = 3,
}

/// Time since any daemon of a data centre was last heard from, directly or through others.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Reach {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Time since the last message from there, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Liveness probe, answered with an [`Ack`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Ping {
    /// Sequence number, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Instance id of the intended receiver; another process may own the address by now.
    #[prost(string, tag = "2")]
    pub to: String,
}

/// Answers a [`Ping`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Ack {
    /// Sequence number of the ping.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Instance that it confirms as live: the sender, or the subject of a [`PingRequest`].
    #[prost(string, tag = "2")]
    pub about: String,
}

/// Asks the receiver to ping a third daemon (indirect probe).
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PingRequest {
    /// Sequence number, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Instance id of the daemon to ping.
    #[prost(string, tag = "2")]
    pub about: String,
}

/// Answers a [`PingRequest`] if the third daemon did not answer.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Nack {
    /// Sequence number of the request.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// Kind of state that daemons replicate.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// The configuration document.
    #[display("document")]
    Document = 0,
    /// The instance list.
    #[display("instance list")]
    Instances = 1,
}

/// Requests newer state.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Pull {
    /// Requested state, a [`Kind`].
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Version that the requester holds; `None` if it has none.
    #[prost(message, optional, tag = "2")]
    pub base: Option<Stamp>,
}

/// Changes from one version of a state to a newer one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Delta {
    /// State to change, a [`Kind`].
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Consecutive steps; the first one starts at the requester's version.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<Step>,
}

/// Changes between two consecutive versions of a state.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Step {
    /// Version to which the patch applies.
    #[prost(message, required, tag = "1")]
    pub from: Stamp,
    /// Version that results.
    #[prost(message, required, tag = "2")]
    pub to: Stamp,
    /// The patch, as JSON of the state's patch type.
    #[prost(bytes = "bytes", tag = "3")]
    pub patch: Bytes,
}

/// A complete state.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Whole {
    /// Transferred state, a [`Kind`].
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Version of the content.
    #[prost(message, required, tag = "2")]
    pub stamp: Stamp,
    /// The content in canonical form, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: Bytes,
}
