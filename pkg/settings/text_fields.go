package settings

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"
)

// figureKind is how a figure is written in a settings file.
type figureKind int

const (
	numberFigure figureKind = iota
	integerFigure
	durationFigure
	booleanFigure
)

// figure is a field that a deployment template fills in as text. The text may be empty, or in a form that the field does not have: the
// platform decides whether a bound is a whole number.
type figure struct {
	section, name string
	kind          figureKind
	least, most   float64
}

// Bounds of what a platform may fill in. A figure beyond them is taken as the bound itself.
const (
	coresMost       = 1024
	descriptorsMost = 1 << 24
	countMost       = 1 << 30
	shareMost       = 1
	ratioMost       = 10
	probesMost      = 1e4
	secondsMost     = 3600
	// aboveZero is the least value of a figure that must not be 0.
	aboveZero = 1e-3
)

// gatewayFigures are the fields of a Gateway that may be given as text.
var gatewayFigures = []figure{
	{"", "cores", numberFigure, aboveZero, coresMost},
	{"", "descriptorsMost", integerFigure, 64, descriptorsMost},
	{"", "fleetStarts", booleanFigure, 0, 0},
	{"bounds", "leaveMost", durationFigure, aboveZero, secondsMost},
	{"bounds", "answerKeptMost", durationFigure, aboveZero, secondsMost},
	{"bounds", "retryShare", numberFigure, 0, shareMost},
	{"bounds", "retrySlack", integerFigure, 0, countMost},
	{"bounds", "probesPerSecond", numberFigure, aboveZero, probesMost},
	{"bounds", "quotaWindow", durationFigure, aboveZero, secondsMost},
	{"bounds", "quotaOver", numberFigure, 0, ratioMost},
	{"bounds", "quotaSlack", numberFigure, 0, countMost},
	{"bounds", "failClosed", booleanFigure, 0, 0},
	{"bounds", "revokeWithin", durationFigure, aboveZero, secondsMost},
}

// relaxGateway gives figures that stand in the file as text the form that their fields have. One that is empty or not understood is
// left out, so that its default holds: an instance that does not start for the form of a number serves nobody. Figures that are no text
// are left to the schema. The problems tell what was not understood.
func relaxGateway(file string, text []byte) ([]byte, []Problem) {
	var root map[string]any
	if json.Unmarshal(text, &root) != nil {
		return text, nil
	}
	var doubts []Problem
	changed := false
	for _, figure := range gatewayFigures {
		section := root
		if figure.section != "" {
			section, _ = root[figure.section].(map[string]any)
		}
		given, isText := section[figure.name].(string)
		if !isText {
			continue
		}
		value, understood := figure.parse(given)
		switch {
		case understood:
			section[figure.name] = value
		default:
			delete(section, figure.name)
		}
		changed = true
		if !understood && !figure.empty(given) {
			doubts = append(doubts, Problem{File: file, Path: figure.path(), Reason: "not understood, the default holds: " + strconv.Quote(given)})
		}
	}
	if !changed {
		return text, nil
	}
	relaxed, err := json.Marshal(root)
	if err != nil {
		return text, doubts
	}
	return relaxed, doubts
}

func (figure figure) path() string {
	return strings.TrimPrefix(figure.section+"."+figure.name, ".")
}

// empty reports whether a template left nothing but a unit.
func (figure figure) empty(given string) bool {
	given = strings.TrimSpace(given)
	return given == "" || figure.kind == durationFigure && given == "s"
}

// parse returns the value in the field's own form.
func (figure figure) parse(given string) (any, bool) {
	given = strings.TrimSpace(given)
	if figure.kind == booleanFigure {
		value, err := strconv.ParseBool(strings.ToLower(given))
		return value, err == nil
	}
	if figure.kind == durationFigure {
		if length, err := time.ParseDuration(given); err == nil && length > 0 || !strings.HasSuffix(given, "s") {
			// Any other unit is for the schema to judge.
			return given, true
		}
		given = strings.TrimSuffix(given, "s")
	}
	number, err := strconv.ParseFloat(given, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return nil, false
	}
	if figure.kind == durationFigure && number <= 0 {
		return nil, false
	}
	number = min(max(number, figure.least), figure.most)
	switch figure.kind {
	case integerFigure:
		return math.Floor(number), true
	case durationFigure:
		return strconv.FormatFloat(number, 'f', -1, 64) + "s", true
	default:
		return number, true
	}
}
