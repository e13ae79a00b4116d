package target

import (
	"net/url"
	"path"
	"strings"
	"testing"
)

func TestSplit(t *testing.T) {
	for raw, want := range map[string]string{ // "": refused
		"/map-tile":                          "/map-tile",
		"/map-tile/3/7.png?user=a%2F":        "/map-tile/3/7.png",
		"/map-tile/":                         "/map-tile/",
		"/map-tile/a%20b":                    "/map-tile/a%20b",
		"/map-tile/%C4%8Dvrsnica":            "/map-tile/%C4%8Dvrsnica",
		"/a.b/..c/d..":                       "/a.b/..c/d..",
		"/map-tile?x=/../order":              "/map-tile",
		"/":                                  "/",
		"":                                   "",
		"*":                                  "",
		"http://b/map-tile":                  "",
		"//map-tile":                         "",
		"/map-tile//order":                   "",
		"/map-tile/../order":                 "",
		"/map-tile/..":                       "",
		"/./map-tile":                        "",
		"/map-tile/%2e%2e/order":             "",
		"/map-tile/.%2E/order":               "",
		"/map-tile%2f..%2forder":             "",
		"/map-tile%2Forder":                  "",
		"/map%2Dtile":                        "",
		"/%6Dap-tile":                        "",
		"/map-tile%252e":                     "",
		"/map-tile;a=b/order":                "",
		"/map-tile%3Ba=b":                    "",
		`/map-tile/..\order`:                 "",
		"/map-tile%5corder":                  "",
		"/map-tile%00":                       "",
		"/map-tile%0d%0a":                    "",
		"/map-tile%":                         "",
		"/map-tile%4":                        "",
		"/map-tile%zz":                       "",
		"/map-tile#order":                    "",
		"/map-tile\x80":                      "",
		"/map tile":                          "",
		"/map-tile?a b":                      "",
		"/map-tile?a#b":                      "",
		"/" + strings.Repeat("a", MaxLength): "",
	} {
		got, _, err := Split(raw)
		if got != want || (err != nil) != (want == "") {
			t.Errorf("%.60q: path %q, error %v, want %q", raw, got, err, want)
		}
	}
}

// FuzzSplit checks that an accepted target has one interpretation: decoding, resolving dots,
// merging slashes and removing parameters, in any order, give the same path.
func FuzzSplit(f *testing.F) {
	for _, s := range []string{"/a/b?c", "/a/%2e%2e/b", "/a;b/c", "//a", "/a%2fb", "/%41", "/a/%25%32%65", "/a/"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		p, query, err := Split(raw)
		if err != nil {
			return
		}
		if joined := p + "?" + query; joined != raw && p != raw {
			t.Fatalf("%q was accepted as %q", raw, joined)
		}
		decoded, err := url.PathUnescape(p)
		if err != nil {
			t.Fatalf("%q: %v", p, err)
		}
		decodedTwice, err := url.PathUnescape(decoded)
		if err != nil || decodedTwice != decoded {
			t.Fatalf("%q means %q decoded once and %q decoded twice", p, decoded, decodedTwice)
		}
		trim := func(s string) string { return "/" + strings.Trim(s, "/") }
		if trim(path.Clean(decoded)) != trim(decoded) {
			t.Fatalf("%q means %q, and %q with its dots resolved", p, decoded, path.Clean(decoded))
		}
		if strings.Count(decoded, "/") != strings.Count(p, "/") || strings.ContainsAny(decoded, ";\\") {
			t.Fatalf("%q has different segments when decoded: %q", p, decoded)
		}
	})
}
