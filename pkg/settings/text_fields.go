package settings

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"
)

// fieldKind is the type of a field in a settings file.
type fieldKind int

const (
	numberField fieldKind = iota
	integerField
	durationField
	booleanField
	// sizeField is a size in bytes with the unit MiB, which may be a fraction.
	sizeField
)

// textField is a field that a deployment template may fill in as text. The platform decides the format of the text, which may
// be empty or not what the field requires, for example a fraction where the field is a whole number.
type textField struct {
	section, name    string
	kind             fieldKind
	minimum, maximum float64
}

// Limits of the values that a platform may fill in. A value outside them is clamped.
const (
	maxCores        = 1024
	maxLinkMegabits = 1e6
	maxDescriptors  = 1 << 24
	maxCount        = 1 << 30
	maxShare        = 1
	maxRatio        = 10
	maxProbes       = 1e4
	maxSeconds      = 3600
	// minMemory and maxMemory are in MiB. The process itself takes some 30 MiB.
	minMemory = 64
	maxMemory = 1 << 24
	// minPositive is the minimum of fields that must be greater than 0, in the unit of the field.
	minPositive = 1e-3
)

// gatewayTextFields lists the fields of a Gateway that may be given as text.
var gatewayTextFields = []textField{
	{"", "cores", numberField, minPositive, maxCores},
	{"", "linkMegabits", numberField, 0, maxLinkMegabits},
	{"", "descriptorsMost", integerField, 64, maxDescriptors},
	{"", "memoryMost", sizeField, minMemory, maxMemory},
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

// normalizeTextFields converts fields that the file contains as text to the type that the schema requires. A field that is
// empty or not understood is removed, so that its default applies: an instance that refuses to start because of the format
// of a number would serve no caller. Fields that are not text are left unchanged for the schema to validate. The returned
// problems list the fields that were not understood.
func normalizeTextFields(file string, text []byte) ([]byte, []Problem) {
	var root map[string]any
	if json.Unmarshal(text, &root) != nil {
		return text, nil
	}
	var warnings []Problem
	changed := false
	for _, textField := range gatewayTextFields {
		section := root
		if textField.section != "" {
			section, _ = root[textField.section].(map[string]any)
		}
		given, isText := section[textField.name].(string)
		if !isText {
			continue
		}
		value, understood := textField.parse(given)
		switch {
		case understood:
			section[textField.name] = value
		default:
			delete(section, textField.name)
		}
		changed = true
		if !understood && !textField.empty(given) {
			warnings = append(warnings, Problem{File: file, Path: textField.path(), Reason: "not understood, using the default: " + strconv.Quote(given)})
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

func (textField textField) path() string {
	return strings.TrimPrefix(textField.section+"."+textField.name, ".")
}

// empty reports whether the template filled in no value, or only the unit.
func (textField textField) empty(given string) bool {
	given = strings.TrimSpace(given)
	return given == "" || textField.kind == durationField && given == "s" || textField.kind == sizeField && given == sizeUnit
}

// parse converts the text to the type of the field and reports whether it was understood.
func (textField textField) parse(given string) (any, bool) {
	given = strings.TrimSpace(given)
	if textField.kind == booleanField {
		value, err := strconv.ParseBool(strings.ToLower(given))
		return value, err == nil
	}
	switch textField.kind {
	case durationField:
		return textField.parseDuration(given)
	case sizeField:
		return textField.parseSize(given)
	}
	number, err := strconv.ParseFloat(given, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return nil, false
	}
	number = min(max(number, textField.minimum), textField.maximum)
	if textField.kind == integerField {
		return math.Floor(number), true
	}
	return number, true
}

// sizeUnit is the unit of size fields, in whose number of bytes they are filled in.
const sizeUnit = "MiB"

// parseSize converts a size to a whole number of bytes, which the schema accepts.
func (textField textField) parseSize(given string) (any, bool) {
	var size Bytes
	if size.UnmarshalText([]byte(given)) == nil {
		given = strconv.FormatInt(int64(size>>20), 10) + sizeUnit
	}
	digits, hasUnit := strings.CutSuffix(given, sizeUnit)
	number, err := strconv.ParseFloat(digits, 64)
	if !hasUnit || err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number <= 0 {
		return nil, false
	}
	number = min(max(number, textField.minimum), textField.maximum)
	return strconv.FormatInt(int64(number*(1<<20)), 10) + "B", true
}

// parseDuration converts a duration with its unit to seconds, which the schema accepts. Seconds may have an exponent.
func (textField textField) parseDuration(given string) (any, bool) {
	length, err := time.ParseDuration(given)
	seconds := length.Seconds()
	if number, hasUnit := strings.CutSuffix(given, "s"); err != nil && hasUnit {
		seconds, err = strconv.ParseFloat(number, 64)
	}
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds <= 0 {
		return nil, false
	}
	return strconv.FormatFloat(min(max(seconds, textField.minimum), textField.maximum), 'f', -1, 64) + "s", true
}
