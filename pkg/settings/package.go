// Package settings reads, checks and renders everything that operators write.
//
// A site is one base file and a small overlay, joined by a JSON merge patch (RFC 7396); the result is published as one
// small document for the site and one for each service, each with a revision of its own. An instance's own file, which
// says who it is and where it listens, is read the same way.
//
// Every problem is found at once and names its file and field: text that is no JSON, keys that stand twice, text after
// the end, unknown fields, wrong units, impossible values, and names of what is not there.
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
