//! The actions that a run of the model consists of.

/// The sender or receiver of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// A control node.
    Node(usize),
    /// A reader, which follows the update feed.
    Reader(usize),
    /// An operator.
    Operator(usize),
}

impl std::fmt::Display for Party {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Node(number) => write!(f, "n{number}"),
            Self::Reader(number) => write!(f, "reader{number}"),
            Self::Operator(number) => write!(f, "operator{number}"),
        }
    }
}

/// Identifies a message in flight by properties that stay valid when a run is shortened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageRef {
    /// The sender.
    pub from: Party,
    /// The receiver.
    pub to: Party,
    /// The kind of message.
    pub label: &'static str,
    /// Index among the messages of this kind between the two, oldest first.
    pub nth: usize,
}

impl std::fmt::Display for MessageRef {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}->{}", self.label, self.from, self.to)?;
        if self.nth > 0 { write!(f, " #{}", self.nth) } else { Ok(()) }
    }
}

/// One step of a run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// The oldest pending event takes place; without one, time passes and every node ticks.
    Next,
    /// This many milliseconds pass, and every node ticks.
    Tick(u64),
    /// This many milliseconds pass, and only one node ticks.
    TickAlone(u64, usize),
    /// A message is delivered before older ones.
    Deliver(MessageRef),
    /// A message is lost.
    Lose(MessageRef),
    /// A message is delivered a second time later.
    Double(MessageRef),
    /// A message is held back until it is released.
    Hold(MessageRef),
    /// The message held longest is delivered.
    Release,
    /// A process is killed; some of its unsynced writes survive.
    Kill {
        /// The node.
        node: usize,
        /// How many unsynced writes survive, oldest first, as the disk commits in order.
        kept: usize,
    },
    /// All machines lose power; on each, some of the unsynced writes survive.
    PowerLoss {
        /// How many unsynced writes survive, by node.
        kept: Vec<usize>,
    },
    /// A machine loses its disk and with it its node id.
    Wipe(usize),
    /// A machine is replaced by another one with an empty disk at another address.
    Replace(usize),
    /// A stopped process starts.
    Restart(usize),
    /// A disk stops syncing until it is resumed.
    Stall(usize),
    /// A stalled disk resumes.
    Resume(usize),
    /// Blocks all messages from the first node to the second.
    Cut(usize, usize),
    /// Blocks all messages between a node and the other nodes.
    CutOff(usize),
    /// Removes all blocked links.
    Heal,
    /// A process is frozen; messages to it wait.
    Freeze(usize),
    /// A frozen process continues.
    Thaw(usize),
    /// An operator orders a configuration based on the newest version it knows.
    Order {
        /// The operator.
        operator: usize,
        /// The node that receives the call.
        node: usize,
        /// By how much the new version exceeds the base version plus one.
        skip: u64,
    },
    /// An operator resends its order, whose outcome it does not know.
    Resend {
        /// The operator.
        operator: usize,
        /// The node that receives the call.
        node: usize,
    },
    /// An operator reads the configuration in force.
    Read {
        /// The operator.
        operator: usize,
        /// The node that receives the call.
        node: usize,
    },
    /// All faults end, and enough time passes for the fleet to recover completely.
    Calm,
}

impl Action {
    /// The kind of deviation, used to limit deviations by kind; `None` for actions that are no
    /// deviation.
    pub fn kind(&self) -> Option<&'static str> {
        Some(match self {
            Self::Next | Self::Tick(_) | Self::Release | Self::Calm => return None,
            Self::Restart(_) | Self::Resume(_) | Self::Heal | Self::Thaw(_) => return None,
            Self::TickAlone(..) => "uneven clock",
            Self::Deliver(_) => "overtaking",
            Self::Lose(_) => "lost message",
            Self::Double(_) => "doubled message",
            Self::Hold(_) => "late message",
            Self::Kill { .. } => "kill",
            Self::PowerLoss { .. } => "power loss",
            Self::Wipe(_) => "wiped disk",
            Self::Replace(_) => "replacement",
            Self::Stall(_) => "stalled disk",
            Self::Cut(..) => "one-way cut",
            Self::CutOff(_) => "cut",
            Self::Freeze(_) => "freeze",
            Self::Order { .. } => "order",
            Self::Resend { .. } => "order sent again",
            Self::Read { .. } => "read",
        })
    }
}

impl std::fmt::Display for Action {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Next => write!(f, "next"),
            Self::Tick(ms) => write!(f, "{ms} ms pass"),
            Self::TickAlone(ms, node) => write!(f, "{ms} ms pass, only n{node} ticks"),
            Self::Deliver(message) => write!(f, "early: {message}"),
            Self::Lose(message) => write!(f, "lost: {message}"),
            Self::Double(message) => write!(f, "doubled: {message}"),
            Self::Hold(message) => write!(f, "held: {message}"),
            Self::Release => write!(f, "released"),
            Self::Kill { node, kept } => write!(f, "n{node} killed, {kept} unsynced writes kept"),
            Self::PowerLoss { kept } => write!(f, "all lose power, unsynced writes kept {kept:?}"),
            Self::Wipe(node) => write!(f, "n{node} loses its disk"),
            Self::Replace(node) => write!(f, "n{node} is replaced"),
            Self::Restart(node) => write!(f, "n{node} starts"),
            Self::Stall(node) => write!(f, "the disk of n{node} stalls"),
            Self::Resume(node) => write!(f, "the disk of n{node} goes on"),
            Self::Cut(from, to) => write!(f, "cut n{from}->n{to}"),
            Self::CutOff(node) => write!(f, "n{node} is cut off"),
            Self::Heal => write!(f, "all cuts end"),
            Self::Freeze(node) => write!(f, "n{node} stands still"),
            Self::Thaw(node) => write!(f, "n{node} goes on"),
            Self::Order { operator, node, skip } => {
                write!(f, "operator{operator} orders at n{node} (skips {skip})")
            }
            Self::Resend { operator, node } => {
                write!(f, "operator{operator} orders again at n{node}")
            }
            Self::Read { operator, node } => write!(f, "operator{operator} reads at n{node}"),
            Self::Calm => write!(f, "calm"),
        }
    }
}
