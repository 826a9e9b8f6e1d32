package clientlimit

// The parts of a frame of drpc: a control byte, the ids of the stream and of the message,
// the length of the data, and the data.
const (
	frameControl = iota
	frameStream
	frameMessage
	frameLength
	frameData
)

const (
	// frameDone is the bit of the control byte that marks the last frame of a message.
	frameDone = 1
	// varintMore is the bit of a varint's byte that says that another one follows, and
	// varintBits the number of the others.
	varintMore = 0x80
	varintBits = 7
	// varintMaxShift bounds a varint.
	varintMaxShift = 63
)

// messageCounter counts the bytes of the message between processes that hasn't arrived as
// a whole. It follows the frames of a connection without keeping their data.
type messageCounter struct {
	part    int
	done    bool
	length  uint64
	shift   uint
	pending int64
}

// add notes bytes that arrived. It returns the bytes of the incomplete message, and
// whether a message was completed.
func (m *messageCounter) add(p []byte) (pending int64, complete bool) {
	for len(p) > 0 {
		if m.part == frameData {
			n := min(m.length, uint64(len(p)))
			m.length -= n
			m.pending += int64(n) //nolint:gosec // At most the length of p.
			p = p[n:]
		} else {
			m.addHead(p[0])
			p = p[1:]
		}
		if m.part == frameData && m.length == 0 {
			if m.done {
				m.pending, complete = 0, true
			}
			m.part = frameControl
		}
	}
	return m.pending, complete
}

// addHead notes one byte before the data.
func (m *messageCounter) addHead(b byte) {
	m.pending++
	switch m.part {
	case frameControl:
		m.done = b&frameDone != 0
		m.part = frameStream
	case frameLength:
		m.length |= uint64(b&^varintMore) << m.shift
		m.shift = min(m.shift+varintBits, varintMaxShift)
		if b&varintMore == 0 {
			m.part = frameData
		}
	default:
		if b&varintMore == 0 {
			m.part++
			m.length, m.shift = 0, 0
		}
	}
}
