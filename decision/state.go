// Package decision decides for one gateway; choice.go holds every decision, this file only what it remembers.
package decision

// Kind says how often a command of an op type may run.
type Kind uint8

// The three kinds of op type.
const (
	Redeliverable Kind = iota
	Deduplicated
	AtMostOnce
)

// Group names the instances that drop repeats of a deduplicated command.
type Group uint8

// The groups that drop repeats.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Outcome says how a delivery, a vote or a probe ended.
type Outcome uint8

// The outcomes. Rejected, Unconnected and Unsent prove that the command never ran.
const (
	Acked Outcome = iota
	Errored
	Rejected
	TimedOut
	Unconnected
	Broken
	Withdrawn
	Unsent
)

// Control says how votes move a build.
type Control uint8

// The ways votes act: one vote is enough, a number of gateways is needed, or a clock moves stages on.
const (
	ControlAny Control = iota
	ControlShare
	ControlClock
)

// Phase is where a build stands.
type Phase uint8

// The phases of a build.
const (
	OnTrial Phase = iota
	GoingBack
	Released
	TakenOff
)

// Verdict is a vote's word on a build.
type Verdict uint8

// The verdicts.
const (
	VoteNone Verdict = iota
	VoteOn
	VoteHold
	VoteBack
)

// Act is what the caller is to do with a command now.
type Act uint8

// Nothing: the command is over or a delivery is out. Hold: not yet; Chores.Ready names it when its turn has
// come. Send: deliver to To, for at most For. Nack and Fail are final answers; After tells the client when
// to come back.
const (
	Nothing Act = iota
	Hold
	Send
	Nack
	Fail
)

// Reason says why a command got a final answer that is not an instance's.
type Reason uint8

// The reasons. NoReason goes with decisions that are no final answer.
const (
	NoReason      Reason = iota
	OutOfTime            // the time left is shorter than a delivery is expected to take
	DeliveriesOut        // it has had as many deliveries as a command may have
	MayHaveRun           // a delivery may have run, and the command must not run twice
)

// Decision answers "where to send this command" and "what to do after this outcome".
type Decision struct {
	Act      Act
	Reason   Reason // of a Nack or a Fail
	To       *Instance
	For      int64 // ns; the delivery's own time-out
	After    int64 // ns; advice to the client with a Nack, 0 for none
	Delivery *Delivery
}

// Vote is due to be cast.
type Vote struct {
	Build, Stage int
	Verdict      Verdict
}

// Chores are what is due besides commands: they come back with the wait.
type Chores struct {
	Ready   []*Command  // held commands to ask about again, in this order
	Votes   []Vote      // at most one
	Totals  *Totals     // to be sent to the gateways in Voters
	Voters  []int       // numbers of gateways
	Finding *Finding    // to be told to all other gateways
	Watch   bool        // ask the list for its changes
	Cancel  []*Delivery // deliveries to call off
}

// Totals is one gateway's running evidence on a build, as sent to the voters: plain counters, laid out by
// the module.
type Totals struct {
	From   int   // the sender's number
	At     int64 // ns; when it was counted: the latest stands
	Build  int
	Cells  []uint32
	Sights []Sight
}

// Sight is what a gateway saw of one machine since it last told.
type Sight struct {
	Of          *Instance
	Busy        float64 // the machine's own figure, below 0 for none
	Acked, Lost int
}

// Finding is what a voter made of the pooled totals, as told to the gateways that do not vote by their own.
type Finding struct {
	From    int
	At      int64 // ns; when it was found: the latest stands
	Build   int
	Stage   int
	Verdict Verdict
	Ill     []*Instance // machines that most gateways lose deliveries at
	Work    float64     // what a command costs the fleet while no build is on trial

	heardAt int64
}

// Delivery lives from its sending to its outcome.
type Delivery struct {
	Number int
	Cmd    *Command
	To     *Instance
	Done   bool

	sentAt int64
	build  int // what the instance was when it was sent
	zone   int
	cell   int
	missed bool // overdue, and booked as lost
	silent bool // and its instance held to be silent
	called bool // off, as its instance is silent
	mayRun bool // it is out, or its outcome does not prove that it never ran
	cold   bool // the instance was in its first seconds
}

// Command lives from its arrival to its final answer.
type Command struct {
	Deliveries []*Delivery
	Open       int  // deliveries still out
	Ended      bool // its final answer is given

	op         *OpType
	key        uint64
	target     int64 // the moment by which its answer is worth the whole
	lastAnswer int64 // the moment at which the client gives up
	weight     float64
	held       bool
}

// OpType is one type of command, with what its answers have taught.
type OpType struct {
	number     int
	target     int64
	stretch    float64
	timeout    int64
	importance float64
	lateShare  float64
	kind       Kind
	group      Group
	window     int64

	mean  float64 // ns; smoothed time of answers
	taken window  // commands taken, where exposure is counted by op type
}

// Model is one kind of machine, with what the earlier builds' answers have taught.
type Model struct {
	pace float64 // smoothed time of its answers against the op types' means
}

// Tenant is one customer's share.
type Tenant struct {
	quota  float64 // commands a second within its share, over all gateways
	recent float64 // its commands lately, decaying
	at     int64
}

// Instance lives as long as the list names it.
type Instance struct {
	listed    bool
	lot       uint64 // marks it in draws
	ready     bool
	here      bool // it runs or drains
	build     int
	zone      int
	model     int
	cell      int
	size      float64
	startedAt int64
	firstAt   int64 // when it first started with its build

	knownAt    int64       // when its start was told
	sentAt     int64       // our last delivery since then
	open       []*Delivery // ours, in sending order
	sent       window      // our deliveries within the cold span
	acked      window      // what it answered us within the cold span
	limit      float64     // how many of ours it may hold
	cutAt      int64       // when the limit was last cut
	slow       float64     // smoothed time of its answers against the op types' means
	busy       float64     // its own figure, where it reports one
	toldAt     int64       // when that was told
	heardAt    int64       // its last sign of life
	provedAt   int64       // the latest sending of a delivery by which it proved that it did not drain
	strikes    int         // silent failures in a row
	asideUntil int64
	illUntil   int64   // the voters say to leave it alone until then
	seen       Sight   // ours since last told
	fresh      bool    // its figure was told since
	good, lost float64 // answers and losses lately, of all gateways heard
	notedAt    int64
	failing    float64             // smoothed share of errors
	block      [][cellKinds]uint32 // its evidence, by op type
	worked     float64             // busy time by its own figure
	brokeAt    int64               // when it last broke off deliveries
}

// window holds the moments of events within a sliding span.
type window struct{ at []int64 }

// Gateway lives from its start to its end.
type Gateway struct {
	rank, peers int
	zone        int
	tick        int64
	seed, drawn uint64
	startedAt   int64 // when it was first asked
	instances   []*Instance
	ops         []*OpType
	tenants     []*Tenant
	models      []*Model
	held        []*Command
	arriving    float64 // our commands a second, smoothed
	arrivedAt   int64
	out         int          // our deliveries that are out
	window      float64      // how many may be
	endedAt     int64        // when one last ended
	pace        float64      // smoothed time of answers against the op types' means, of all kinds of machine
	ways        []way        // by zone
	unmet       float64      // smoothed share of our deliveries that found no connection
	vouched     map[int]bool // builds that are what was signed; nil where any is taken
	limits      limits
	// No delivery goes out until then: the gateway has stood still.
	catchUpUntil int64
	exposure     exposure
	cold         cold
	list         list
	calls        discoveryCalls
	judge        judge
}

// way is how our deliveries to a zone fare.
type way struct {
	late float64 // smoothed share late or without an answer
	at   int64
}

// limits is what this deployment permits of deliveries.
type limits struct {
	deliveries int
	cancel     bool
	comeBack   int64 // the longest advice a client honours, 0 where it gets none
	cross      float64
}

// exposure bounds deliveries to a build on trial.
type exposure struct {
	window    int64
	allowance float64
	byOp      bool
	closed    int
	oneWay    bool
	caps      []float64

	build   int
	stage   int
	phase   Phase
	cap     float64
	taken   window
	trial   map[int][]window // by build, then by op type (or one for all)
	pinned  map[uint64]int   // a key to the newest build that has answered it
	seen    map[uint64]int   // how often a key has come
	all     int              // commands with a key
	pinning int              // those of them with a pinned key
}

// cold bounds deliveries to an instance that has just started.
type cold struct {
	from     float64
	warm     int64
	multiple float64
	span     int64
	taken    window
	lack     float64 // times its usual share that a machine gets as far as it can, as others are gone or cold
	usual    float64 // what a warm machine answers us for its power within the span
}

// list follows the list of instances.
type list struct {
	lease  lease
	power  float64 // the most that was ready at once, without what is on trial
	places int     // the same, in instances
}

// ranks holds the sorted figures of one build's ready machines.
type ranks struct {
	build          int
	failing, lossy []float64
}

// judge is the pair test and the vote.
type judge struct {
	control   Control
	on, back  int
	shares    []float64
	life      int64
	answerIn  int64
	lag, harm float64 // what it costs to serve all by an earlier build, and to fail all effects
	messages  bool

	build    int // the build under judgement, 0 for none
	own      []uint32
	before   []uint32     // all totals when the stage began, or the release, were first looked at
	past     []uint32     // of it, what machines showed that have left
	work     [2]float64   // busy time by the machines' own figures: trial, earlier builds
	workWas  [2]float64   // the same when totals were last due
	pastWork [2]float64   // of it, that of machines that have left
	told     bool         // a stage has been told
	since    []uint32     // all totals when their work began to be seen; nil while it is not
	sinceAt  int64        // when that was, if it was
	amid     bool         // after the build was first heard of
	sees     bool         // and long enough ago
	gone     []uint32     // totals of gateways that have started anew
	worked   float64      // what a command cost the machines before the build
	fleet    [2]float64   // answers since the stage began, and their cost in those of before
	fresh    [][2]float64 // the latest of the same, not yet added
	heard    []*Totals    // each sender's latest, by number
	hearing  int          // senders heard lately
	deaf     bool         // they are too few
	hearsAt  int64        // since then this voter has heard most gateways
	voters   []int
	votersOf int        // the build whose voters these are
	findings []*Finding // each voter's latest
	found    Verdict    // what was last told to the others
	ill      int        // machines it named
	findAt   int64      // when that is told again
	ranks    []ranks
	seenAt   int64 // when the list first showed the build
	stageAt  int64 // when the present stage was first heard of
	listed   bool  // the present stage was, in full
	totalsAt int64 // when totals are next due
	lookAt   int64 // when the wait before 'on' is over, far off where none is
	against  bool  // the product has reached its level
	clearAt  int64 // when it last had not
	vote     Vote  // the last one cast
	votedAt  int64
	waiting  bool // for its answer
	againAt  int64
}

// String names a phase for the log.
func (p Phase) String() string {
	return [...]string{"on trial", "going back", "released", "taken off"}[p]
}

// String names a reason for the log.
func (r Reason) String() string {
	return [...]string{"none", "out of time", "deliveries used up", "may have run"}[r]
}

// String names a verdict for the log.
func (v Verdict) String() string { return [...]string{"none", "on", "hold", "back"}[v] }

// String names an outcome for the log.
func (o Outcome) String() string {
	return [...]string{"acked", "errored", "rejected", "timed out", "unconnected", "broken", "withdrawn", "unsent"}[o]
}
