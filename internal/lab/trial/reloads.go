package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"spokegw/internal/lab/scene"
)

// reloadFaults are played besides where configurations change.
var reloadFaults = []fault{
	{"a broken configuration", 6, (*play).brokenConfiguration},
	{"a configuration with other classes", 6, (*play).otherClasses},
	{"the operator's file changes", 6, (*play).changeOperatorFile},
}

const (
	// newClassAfter is how long after SIGHUP clients use a new class.
	newClassAfter = 1200 * time.Millisecond
	// leastBroken and mostBroken are how long a broken configuration stays.
	leastBroken, mostBroken = 1500 * time.Millisecond, 4 * time.Second
	reloadAsks              = 4 // requests of a class that has been added
	keyedClients            = 4 // that send while a broken configuration is there
)

// extraClasses are those that a reload adds to the usual ones, which are safe to repeat or not.
var extraClasses = []class{
	{"contour", safe, 900 * time.Millisecond, 0},
	{"booking", unsafe, 800 * time.Millisecond, 0},
	{"signal", keyed, 700 * time.Millisecond, 600 * time.Millisecond},
}

// brokenKind is how a broken configuration is broken. They are played in turn.
type brokenKind int

const (
	withoutScope brokenKind = iota
	empty
	withoutWindow
	cutOff
	withoutOtherKey
	withoutTime // a deadline of 0
	brokenKinds
)

// brokenFile makes a whole configuration broken.
func brokenFile(whole []byte, kind brokenKind, rng *rand.Rand) (text []byte, how string) {
	isKeyed := func(class map[string]any) bool { return class["effect"] == effects[keyed] }
	isAny := func(map[string]any) bool { return true }
	without := func(key string) func(class map[string]any) string {
		return func(class map[string]any) string {
			delete(class, key)
			return "short of " + key
		}
	}
	switch kind {
	case empty:
		return nil, "empty"
	case cutOff:
		return whole[:1+rng.IntN(len(whole)-2)], "cut off"
	case withoutScope:
		return editClass(whole, rng, isKeyed, without("key_scope"))
	case withoutWindow:
		return editClass(whole, rng, isKeyed, without("dedup_window_ms"))
	case withoutOtherKey:
		keys := []string{"effect", "worth", "aim_ms", "hard_limit_ms"}
		return editClass(whole, rng, isAny, without(keys[rng.IntN(len(keys))]))
	}
	return editClass(whole, rng, isAny, func(class map[string]any) string {
		class["hard_limit_ms"] = 0
		return "hard_limit_ms 0"
	})
}

// editClass changes a random class of those of a configuration that may be changed.
func editClass(whole []byte, rng *rand.Rand, may func(class map[string]any) bool, edit func(class map[string]any) string) (text []byte, how string) {
	var file map[string]any
	json.Unmarshal(whole, &file) // it was made by this package
	var classes []map[string]any
	for _, c := range file["settings"].(map[string]any)["classes"].([]any) {
		if class := c.(map[string]any); may(class) {
			classes = append(classes, class)
		}
	}
	class := classes[rng.IntN(len(classes))]
	how = fmt.Sprintf("%s, class %v", edit(class), class["name"])
	text, _ = json.Marshal(file) // of plain values
	return text, how
}

// brokenConfiguration has a sidecar reload a broken configuration while endpoints fail, so that requests
// are repeated: the settings in force have to stay.
func (p *play) brokenConfiguration(ctx context.Context, rng *rand.Rand) {
	p.exchangeFree(rng, func(s *sidecarProcess) {
		whole, err := os.ReadFile(s.config)
		if err != nil {
			return
		}
		kind := brokenKind(p.brokenFiles.Add(1)-1) % brokenKinds
		text, how := brokenFile(whole, kind, rng)
		if bytes.Equal(text, whole) || s.writeConfiguration(text) != nil {
			return
		}
		p.note("%s: a broken configuration: %s", s.name, how)
		failing := p.drawHanging(rng)
		for _, e := range failing {
			e.treat(moodResets)
		}
		s.proc.Signal(syscall.SIGHUP)
		p.sendKeyed(ctx, s, span(rng, leastBroken, mostBroken), rng.Uint32())
		for _, e := range failing {
			e.treat(moodGood)
		}
		if s.writeConfiguration(whole) == nil && rng.IntN(2) == 0 {
			s.proc.Signal(syscall.SIGHUP)
		}
	})
}

// sendKeyed has clients send keyed requests to a sidecar for some time.
func (p *play) sendKeyed(ctx context.Context, s *sidecarProcess, lasts time.Duration, number uint32) {
	over, stop := context.WithTimeout(ctx, lasts)
	defer stop()
	keyedClass := classOfEffect(p.classes(), keyed)
	var clients sync.WaitGroup
	for i := range keyedClients {
		c := &client{play: p, sidecar: slices.Index(p.sidecars, s), rng: rand.New(rand.NewPCG(uint64(number), uint64(i))), name: fmt.Sprintf("%x-keyed-%d", number, i)}
		clients.Go(func() {
			for over.Err() == nil {
				c.ask(keyedClass, 1)
			}
			if c.conn != nil {
				c.drop()
			}
		})
	}
	clients.Wait()
}

// otherClasses has a sidecar reload a whole configuration with another class, or with its classes in
// another order, and has a client use the class.
func (p *play) otherClasses(ctx context.Context, rng *rand.Rand) {
	p.exchangeFree(rng, func(s *sidecarProcess) {
		whole, err := os.ReadFile(s.config)
		if err != nil {
			return
		}
		extra := extraClasses[rng.IntN(len(extraClasses))]
		text := withClass(whole, rng, extra)
		if s.writeConfiguration(text) != nil {
			return
		}
		p.note("%s: another class: %s", s.name, extra.name)
		s.proc.Signal(syscall.SIGHUP)
		if wait(ctx, newClassAfter+2*p.judge.slack()) {
			p.useClass(s, extra, rng)
		}
		if s.writeConfiguration(whole) == nil {
			s.proc.Signal(syscall.SIGHUP)
		}
	})
}

// withClass adds a class to a configuration, and puts the classes in another order.
func withClass(whole []byte, rng *rand.Rand, extra class) []byte {
	var file map[string]any
	json.Unmarshal(whole, &file) // it was made by this package
	settings := file["settings"].(map[string]any)
	classes := settings["classes"].([]any)
	definition := extra.definition()
	if extra.effect != keyed { // such a class need not have them
		delete(definition, "key_scope")
		delete(definition, "dedup_window_ms")
	}
	classes = append(classes, definition)
	rng.Shuffle(len(classes), func(i, j int) { classes[i], classes[j] = classes[j], classes[i] })
	settings["classes"] = classes
	text, _ := json.Marshal(file) // of plain values
	return text
}

// useClass has a client send some requests of a class that a reload has added. None may be turned away
// as one of an unknown class.
func (p *play) useClass(s *sidecarProcess, k class, rng *rand.Rand) {
	c := &client{play: p, sidecar: slices.Index(p.sidecars, s), rng: rng, name: fmt.Sprintf("%d-%s-%s-%x", p.Seed, s.name, k.name, rng.Uint32())}
	for range reloadAsks {
		status, answered := c.askOnce(k)
		if answered && status >= 400 && status < 500 && status != 429 {
			p.judge.breaks(Lost, sure, "%s: a request of the class %s, which a reload has added, was answered %d", s.name, k.name, status)
		}
	}
}

// askOnce sends one request of a class that may not be one of the run's, on a connection of its own.
func (c *client) askOnce(k class) (status int, answered bool) {
	if !c.connect(c.play.sidecars[c.sidecar]) {
		return 0, false
	}
	defer c.drop()
	c.n++
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	c.play.judge.begins(id, &sent{sidecar: c.sidecar, class: classOfEffect(c.play.classes(), k.effect), at: time.Now(), deadline: k.deadline})
	if _, err := c.conn.Write([]byte(request(id, k))); err != nil {
		return 0, false
	}
	c.conn.SetReadDeadline(time.Now().Add(k.deadline + 3*answerSlack))
	status, _, _, err := c.answer()
	return status, err == nil
}

// classOfEffect returns the index of a class whose repeats are judged by the same rules.
func classOfEffect(classes []class, e effect) int {
	return slices.IndexFunc(classes, func(k class) bool { return k.effect == e })
}

// definition is the class as settings tell it.
func (k class) definition() scene.Class {
	return scene.Class{"name": k.name, "effect": effects[k.effect], "key_scope": "cell", "dedup_window_ms": k.window.Milliseconds(),
		"worth": 1, "late_worth": 0.5, "aim_ms": k.deadline.Milliseconds() / 2, "hard_limit_ms": k.deadline.Milliseconds()}
}

// writeConfiguration replaces the configuration's file as a whole.
func (s *sidecarProcess) writeConfiguration(text []byte) error {
	return replaceFile(s.config, text)
}
