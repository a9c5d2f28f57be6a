package settings

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"
)

// fieldKind is how a figure is written in a settings file.
type fieldKind int

const (
	numberField fieldKind = iota
	integerField
	durationField
	booleanField
)

// textField is a field that a deployment template fills in as text. The text may be empty, or in a form that the field does not have: the
// platform decides whether a bound is a whole number.
type textField struct {
	section, name    string
	kind             fieldKind
	minimum, maximum float64
}

// Bounds of what a platform may fill in. A figure beyond them is taken as the bound itself.
const (
	maxCores       = 1024
	maxDescriptors = 1 << 24
	maxCount       = 1 << 30
	maxShare       = 1
	maxRatio       = 10
	maxProbes      = 1e4
	maxSeconds     = 3600
	// minPositive is the least value of a figure that must not be 0.
	minPositive = 1e-3
)

// gatewayTextFields are the fields of a Gateway that may be given as text.
var gatewayTextFields = []textField{
	{"", "cores", numberField, minPositive, maxCores},
	{"", "descriptorsMost", integerField, 64, maxDescriptors},
	{"", "fleetStarts", booleanField, 0, 0},
	{"bounds", "leaveMost", durationField, minPositive, maxSeconds},
	{"bounds", "answerKeptMost", durationField, minPositive, maxSeconds},
	{"bounds", "retryShare", numberField, 0, maxShare},
	{"bounds", "retrySlack", integerField, 0, maxCount},
	{"bounds", "probesPerSecond", numberField, minPositive, maxProbes},
	{"bounds", "quotaWindow", durationField, minPositive, maxSeconds},
	{"bounds", "quotaOver", numberField, 0, maxRatio},
	{"bounds", "quotaSlack", numberField, 0, maxCount},
	{"bounds", "failClosed", booleanField, 0, 0},
	{"bounds", "revokeWithin", durationField, minPositive, maxSeconds},
}

// normalizeTextFields gives figures that stand in the file as text the form that their fields have. One that is empty or not understood is
// left out, so that its default holds: an instance that does not start for the form of a number serves nobody. Figures that are no text
// are left to the schema. The problems tell what was not understood.
func normalizeTextFields(file string, text []byte) ([]byte, []Problem) {
	var root map[string]any
	if json.Unmarshal(text, &root) != nil {
		return text, nil
	}
	var warnings []Problem
	changed := false
	for _, figure := range gatewayTextFields {
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
			warnings = append(warnings, Problem{File: file, Path: figure.path(), Reason: "not understood, the default holds: " + strconv.Quote(given)})
		}
	}
	if !changed {
		return text, nil
	}
	normalized, err := json.Marshal(root)
	if err != nil {
		return text, warnings
	}
	return normalized, warnings
}

func (figure textField) path() string {
	return strings.TrimPrefix(figure.section+"."+figure.name, ".")
}

// empty reports whether a template left nothing but a unit.
func (figure textField) empty(given string) bool {
	given = strings.TrimSpace(given)
	return given == "" || figure.kind == durationField && given == "s"
}

// parse returns the value in the field's own form.
func (figure textField) parse(given string) (any, bool) {
	given = strings.TrimSpace(given)
	if figure.kind == booleanField {
		value, err := strconv.ParseBool(strings.ToLower(given))
		return value, err == nil
	}
	if figure.kind == durationField {
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
	if figure.kind == durationField && number <= 0 {
		return nil, false
	}
	number = min(max(number, figure.minimum), figure.maximum)
	switch figure.kind {
	case integerField:
		return math.Floor(number), true
	case durationField:
		return strconv.FormatFloat(number, 'f', -1, 64) + "s", true
	default:
		return number, true
	}
}
