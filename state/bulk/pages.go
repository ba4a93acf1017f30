package bulk

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// firstBytes is the size of an answer's first page, pageBytes that of the others.
	firstBytes = 4 << 10
	pageBytes  = 32 << 10
)

var (
	firstPages = sync.Pool{New: func() any { return new([firstBytes]byte) }}
	otherPages = sync.Pool{New: func() any { return new([pageBytes]byte) }}
)

// Pages is an answer that has been read. Its memory is reused once it has been released.
type Pages struct {
	first *[firstBytes]byte
	other []*[pageBytes]byte
	size  int
}

// ErrEnded means that the answer was given up, for others.
var ErrEnded = errors.New("bulk: the answers in progress take too much memory, this one the most")

// ReadAll reads an answer to its end, or until it is longer than most bytes. Each page counts as
// held for the answer before it is filled.
func (a *Answer) ReadAll(r io.Reader, most int) (*Pages, error) {
	p := &Pages{}
	var page []byte
	for used := 0; p.size <= most; {
		if used == len(page) {
			if page, used = p.next(a), 0; page == nil {
				return p, ErrEnded
			}
		}
		n, err := r.Read(page[used:])
		used += n
		p.size += n
		if errors.Is(err, io.EOF) {
			return p, nil
		}
		if err != nil {
			return p, err
		}
	}
	return p, nil
}

// next adds a page. It returns nil if the answer has ended.
func (p *Pages) next(a *Answer) []byte {
	if p.first == nil {
		if !a.Grow(firstBytes) {
			return nil
		}
		p.first = firstPages.Get().(*[firstBytes]byte)
		return p.first[:]
	}
	if !a.Grow(pageBytes) {
		return nil
	}
	page := otherPages.Get().(*[pageBytes]byte)
	p.other = append(p.other, page)
	return page[:]
}

// Len returns the answer's length.
func (p *Pages) Len() int { return p.size }

// WriteTo writes the answer.
func (p *Pages) WriteTo(w io.Writer) (int64, error) {
	written := 0
	for i := -1; i < len(p.other) && written < p.size; i++ {
		page := p.first[:]
		if i >= 0 {
			page = p.other[i][:]
		}
		n, err := w.Write(page[:min(len(page), p.size-written)])
		if written += n; err != nil {
			return int64(written), err
		}
	}
	return int64(written), nil
}

// Release gives the memory back. The answer must not be used any more.
func (p *Pages) Release() {
	if p.first != nil {
		firstPages.Put(p.first)
	}
	for _, page := range p.other {
		otherPages.Put(page)
	}
	*p = Pages{}
}
