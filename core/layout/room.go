package layout

import "slices"

// Model returns the model with the given name, if engines of the service may hold it.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// lacksSizes reports whether the size of adapters is missing although the memory is known.
func (e *Engine) lacksSizes() bool {
	return e.RoomMB > 0 && slices.ContainsFunc(e.Models, func(m Model) bool { return m.Adapters > 0 && m.AdapterMB <= 0 })
}

// LacksSizes reports whether the sizes of adapters are missing, as in layouts that hosts of earlier versions stored.
func (l *Layout) LacksSizes() bool {
	return slices.ContainsFunc(l.Services, func(s Service) bool { return s.Engine != nil && s.Engine.lacksSizes() })
}

// SlotsBind reports whether the slots of an engine are full before its memory is, whatever it holds.
func (e *Engine) SlotsBind() bool {
	total, largest := 0.0, 0.0
	for i := range e.Models {
		total += e.Models[i].WeightsMB
		largest = max(largest, e.Models[i].AdapterMB)
	}
	return e.HasRoom(total + float64(e.AdapterSlots+1)*largest) // a replaced version may be held beside the new one
}

// HasRoom reports whether the memory of one engine holds weights of the given size.
func (e *Engine) HasRoom(mb float64) bool { return e.RoomMB <= 0 || mb <= e.RoomMB }

// CanHold reports whether an empty engine has room for a model, and for one of its adapters if adapter is true.
func (e *Engine) CanHold(model string, adapter bool) bool {
	m, known := e.Model(model)
	if known && adapter {
		m.WeightsMB += m.AdapterMB
	}
	return !known || e.HasRoom(m.WeightsMB)
}
