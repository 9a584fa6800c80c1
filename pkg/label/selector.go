package label

import (
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// MaxSelector is the longest selector text accepted, in bytes.
const MaxSelector = 1024

type operator int

const (
	opEquals operator = iota
	opNotEquals
	opIn
	opNotIn
	opExists
	opAbsent
)

type requirement struct {
	name   string
	op     operator
	values []string
}

// Selector is a parsed list of requirements, all of which a label set has to meet.
type Selector struct {
	requirements []requirement
}

// Matches reports whether labels meet every requirement; an empty selector matches everything.
func (s Selector) Matches(labels Set) bool {
	for i := range s.requirements {
		if !s.requirements[i].matches(labels) {
			return false
		}
	}
	return true
}

func (r *requirement) matches(labels Set) bool {
	value, present := labels[r.name]
	switch r.op {
	case opExists:
		return present
	case opAbsent:
		return !present
	case opEquals, opIn:
		return present && slices.Contains(r.values, value)
	default:
		return !present || !slices.Contains(r.values, value)
	}
}

// Parse reads a selector such as "kind=line_check,zone in (umea,lycksele),!draining"; errors give the byte offset.
func Parse(text string) (s Selector, err error) {
	if len(text) > MaxSelector {
		return s, errors.Errorf("selector of %d bytes, at most %d allowed", len(text), MaxSelector)
	}
	p := parser{text: text}
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "selector %q at byte %d", text, p.pos)
		}
	}()
	if p.peek() == 0 {
		return s, nil
	}
	for {
		r, err := p.requirement()
		if err != nil {
			return s, err
		}
		s.requirements = append(s.requirements, r)
		if p.peek() == 0 {
			return s, nil
		}
		if !p.accept(",") {
			return s, errors.New("want ',' or the end")
		}
	}
}

type parser struct {
	text string
	pos  int
}

func (p *parser) requirement() (r requirement, err error) {
	if p.accept("!") {
		r.op = opAbsent
		r.name, err = p.word()
		return r, err
	}
	if r.name, err = p.word(); err != nil {
		return r, err
	}
	switch {
	case p.accept("!="):
		r.op = opNotEquals
		return r, p.single(&r)
	case p.accept("=="), p.accept("="):
		r.op = opEquals
		return r, p.single(&r)
	case p.acceptWord("notin"):
		r.op = opNotIn
		return r, p.list(&r)
	case p.acceptWord("in"):
		r.op = opIn
		return r, p.list(&r)
	}
	r.op = opExists
	return r, nil
}

func (p *parser) single(r *requirement) error {
	value, err := p.word()
	r.values = []string{value}
	return err
}

func (p *parser) list(r *requirement) error {
	if !p.accept("(") {
		return errors.New("want '('")
	}
	for {
		value, err := p.word()
		if err != nil {
			return err
		}
		r.values = append(r.values, value)
		if p.accept(")") {
			return nil
		}
		if !p.accept(",") {
			return errors.New("want ',' or ')'")
		}
	}
}

func (p *parser) word() (string, error) {
	p.peek()
	start := p.pos
	for p.pos < len(p.text) {
		c, size := utf8.DecodeRuneInString(p.text[p.pos:])
		if !isWordRune(c) {
			break
		}
		p.pos += size
	}
	word := p.text[start:p.pos]
	if !validWord(word, MaxValue) {
		return "", errors.New("want a label name or value")
	}
	return word, nil
}

func (p *parser) acceptWord(word string) bool {
	saved := p.pos
	got, err := p.word()
	if err == nil && got == word {
		return true
	}
	p.pos = saved
	return false
}

func (p *parser) accept(token string) bool {
	p.peek()
	if strings.HasPrefix(p.text[p.pos:], token) {
		p.pos += len(token)
		return true
	}
	return false
}

// peek skips blanks and returns the next byte, or zero at the end.
func (p *parser) peek() byte {
	for p.pos < len(p.text) && (p.text[p.pos] == ' ' || p.text[p.pos] == '\t') {
		p.pos++
	}
	if p.pos == len(p.text) {
		return 0
	}
	return p.text[p.pos]
}
