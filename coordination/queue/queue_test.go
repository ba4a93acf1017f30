package queue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/coordination/queue"
)

var start = time.Unix(1000, 0)

func TestClassThenLeastAttained(t *testing.T) {
	g := NewWithT(t)
	q := queue.New(queue.Attained)
	q.Push(queue.Item{ID: "long", Class: 1, Attained: 20 * time.Second, MessageTime: start, ReadyTime: start})
	q.Push(queue.Item{ID: "short", Class: 1, Attained: time.Second, MessageTime: start.Add(time.Second), ReadyTime: start.Add(time.Second)})
	q.Push(queue.Item{ID: "gate", Class: 0, Attained: time.Second, MessageTime: start.Add(2 * time.Second), ReadyTime: start.Add(2 * time.Second)})
	var order []string
	for i, ok := q.Pop(); ok; i, ok = q.Pop() {
		order = append(order, i.ID)
	}
	g.Expect(order).To(Equal([]string{"gate", "short", "long"}))
}

func TestLongWaitOutweighsAttainedService(t *testing.T) {
	g := NewWithT(t)
	q := queue.New(queue.Attained)
	q.Push(queue.Item{ID: "old", Attained: 10 * time.Second, MessageTime: start, ReadyTime: start.Add(2 * time.Minute)})
	q.Push(queue.Item{ID: "new", Attained: 0, MessageTime: start.Add(time.Minute), ReadyTime: start.Add(time.Minute)})
	first, _ := q.Peek()
	g.Expect(first.ID).To(Equal("old"))
}

func TestProgramThatWaitedLongestIsFirst(t *testing.T) {
	g := NewWithT(t)
	q := queue.New(queue.Program)
	q.Push(queue.Item{ID: "first call of a new task", Class: 1, MessageTime: start.Add(time.Second), ReadyTime: start.Add(time.Second)})
	q.Push(queue.Item{ID: "tenth call of an old task", Class: 1, Attained: time.Hour, MessageTime: start, ReadyTime: start.Add(2 * time.Second)})
	first, _ := q.Peek()
	g.Expect(first.ID).To(Equal("tenth call of an old task"))
}

func TestQueueHoldsEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New(queue.Attained)
		held := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				q.Push(queue.Item{ID: id, Attained: time.Duration(rapid.Int64Range(0, 99).Draw(t, "attained")), ReadyTime: start})
				held[id] = true
			case 1:
				q.Remove(id)
				delete(held, id)
			case 2:
				if i, ok := q.Pop(); ok {
					if !held[i.ID] {
						t.Fatalf("popped %s, which is not held", i.ID)
					}
					delete(held, i.ID)
				}
			}
			if q.Len() != len(held) {
				t.Fatalf("%d items, want %d", q.Len(), len(held))
			}
		}
	})
}

func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{1000, 4000, 17000, 68000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := queue.New(queue.Attained)
			ids := make([]string, n)
			for i := range n {
				ids[i] = fmt.Sprint("program", i)
				q.Push(queue.Item{ID: ids[i], Attained: time.Duration(i * 7919 % 5000), ReadyTime: start})
			}
			b.ReportAllocs()
			for b.Loop() {
				i, _ := q.Pop()
				i.Attained += 100
				q.Push(i)
			}
		})
	}
}
