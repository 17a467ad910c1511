//! What may happen next.

/// Who sends or takes a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// A control node.
    Node(usize),
    /// A follower of the feed.
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

/// A message under way, named so that the name still fits when a run is shortened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageRef {
    /// Who sent it.
    pub from: Party,
    /// Who is to take it.
    pub to: Party,
    /// What kind of message it is.
    pub label: &'static str,
    /// Which of those of this kind between the two, the oldest first.
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
    /// The oldest event under way happens; if there is none, time passes and everybody ticks.
    Next,
    /// So many milliseconds pass, and everybody ticks.
    Tick(u64),
    /// So many milliseconds pass, and one node alone ticks.
    TickAlone(u64, usize),
    /// A message arrives, before older ones.
    Deliver(MessageRef),
    /// A message is lost.
    Lose(MessageRef),
    /// A message arrives later a second time.
    Double(MessageRef),
    /// A message stays under way until it is released.
    Hold(MessageRef),
    /// The message held for longest arrives.
    Release,
    /// A process is killed; so many of its writes that were not synced are kept.
    Kill {
        /// Whose.
        node: usize,
        /// How many, the oldest first: the disk commits in order.
        kept: usize,
    },
    /// All machines lose power; each keeps so many of its writes that were not synced.
    PowerLoss {
        /// How many, by node.
        kept: Vec<usize>,
    },
    /// A machine loses its disk, and with it its id.
    Wipe(usize),
    /// A machine is lost and another takes its place at another address.
    Replace(usize),
    /// A process that does not run starts.
    Restart(usize),
    /// A disk syncs nothing until it is resumed.
    Stall(usize),
    /// A stalled disk goes on.
    Resume(usize),
    /// Nothing goes from the first node to the second any more.
    Cut(usize, usize),
    /// Nothing goes between a node and the other nodes any more.
    CutOff(usize),
    /// All cuts end.
    Heal,
    /// A process stands still; what it is sent waits.
    Freeze(usize),
    /// It goes on.
    Thaw(usize),
    /// An operator orders a configuration that builds on the newest one it knows of.
    Order {
        /// Which operator.
        operator: usize,
        /// At which node.
        node: usize,
        /// By how much more than one its number is above its base.
        skip: u64,
    },
    /// An operator sends the order that it has no clear answer to again.
    Resend {
        /// Which operator.
        operator: usize,
        /// At which node.
        node: usize,
    },
    /// An operator reads the configuration in force.
    Read {
        /// Which operator.
        operator: usize,
        /// At which node.
        node: usize,
    },
    /// All troubles end, and enough time passes for the fleet to be whole again.
    Calm,
}

impl Action {
    /// The kind of deviation, for a budget of each kind; none where it is none.
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
