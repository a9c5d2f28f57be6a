// Package settings loads, validates and renders the configuration that operators write.
//
// A site's settings are a base file and a small overlay, combined as a JSON merge patch (RFC 7396). The result is
// published as one small document for the site and one for each service, each with its own revision. An instance's own
// file, which holds its name and the addresses on which it listens, is loaded in the same way.
//
// All problems are reported together, each with its file and field: invalid JSON, duplicate keys, text after the end of
// the document, unknown fields, wrong units, impossible values, and references to names that are not defined.
//
// # Usage
//
//	site, err := settings.LoadSite("base.json", "sofia.json")
//	if settings.IsErrInvalid(err) {
//		for _, problem := range settings.ProblemsOf(err) {
//			fmt.Println(problem)
//		}
//	}
package settings
