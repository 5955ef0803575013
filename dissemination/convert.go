package dissemination

import "github.com/hibiscusspur/hibiscusspur/wire"

// ToWire converts d to its protobuf message.
func ToWire(d Delta) *wire.Records {
	out := &wire.Records{From: d.From, Head: d.Head, Full: d.Full}
	for _, r := range d.Records {
		out.Records = append(out.Records, &wire.Record{Key: r.Key, Revision: r.Revision, Value: r.Value, Deleted: r.Deleted})
	}
	return out
}

// FromWire converts a protobuf message to a delta.
func FromWire(m *wire.Records) Delta {
	d := Delta{From: m.GetFrom(), Head: m.GetHead(), Full: m.GetFull()}
	for _, r := range m.GetRecords() {
		d.Records = append(d.Records, Record{Key: r.GetKey(), Revision: r.GetRevision(), Value: r.GetValue(), Deleted: r.GetDeleted()})
	}
	return d
}
