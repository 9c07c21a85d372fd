package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1000, 0)
	config = Config{Notice: 2600 * time.Millisecond, RunTime: 4 * time.Second, DeadlineMargin: 100 * time.Millisecond}
)

const limit = 7300 * time.Millisecond

func at(d time.Duration) time.Time { return start.Add(d) }

func TestRequestIsTakenOnlyIfItEndsInTime(t *testing.T) {
	t.Parallel()
	const never = time.Hour
	for name, c := range map[string]struct {
		now  time.Duration
		e    Event
		want Command
	}{
		"read before the notice":                        {2599 * time.Millisecond, RequestRead{Run{Deadline: at(never)}}, Take{}},
		"read after the notice, may outlast the stop":   {2600 * time.Millisecond, RequestRead{Run{Deadline: at(7201 * time.Millisecond)}}, Refuse{}},
		"read after the notice, ends in time":           {2600 * time.Millisecond, RequestRead{Run{Deadline: at(7200 * time.Millisecond)}}, Take{}},
		"read late, ends in time":                       {7100 * time.Millisecond, RequestRead{Run{Deadline: at(7200 * time.Millisecond)}}, Take{}},
		"waits while there is time to run":              {3300 * time.Millisecond, SlotAwaited{Run{Deadline: at(never)}}, Take{}},
		"waits when there is none":                      {3301 * time.Millisecond, SlotAwaited{Run{Deadline: at(never)}}, Refuse{}},
		"waits when there is none, but ends in time":    {3301 * time.Millisecond, SlotAwaited{Run{Deadline: at(7200 * time.Millisecond)}}, Take{}},
		"read before the notice, usually ends in time":  {2200 * time.Millisecond, RequestRead{Run{at(never), 5 * time.Second}}, Take{}},
		"read before the notice, usually ends too late": {2201 * time.Millisecond, RequestRead{Run{at(never), 5 * time.Second}}, Refuse{}},
		"read before the notice, usually ends too late, but must end in time": {
			2201 * time.Millisecond, RequestRead{Run{at(7200 * time.Millisecond), 5 * time.Second}}, Take{},
		},
		"read after the notice, usually ends in time":   {2600 * time.Millisecond, RequestRead{Run{at(never), time.Second}}, Refuse{}},
		"waits, usually ends in time":                   {2200 * time.Millisecond, SlotAwaited{Run{at(never), 5 * time.Second}}, Take{}},
		"waits, usually ends too late":                  {2201 * time.Millisecond, SlotAwaited{Run{at(never), 5 * time.Second}}, Refuse{}},
		"idle before the notice":                        {2500 * time.Millisecond, Tick{}, Continue{}},
		"requests in flight after the notice":           {3 * time.Second, Tick{InFlight: 1}, Continue{CloseIdle: true}},
		"requests in flight, no time to run for others": {4 * time.Second, Tick{InFlight: 1}, Continue{CloseIdle: true, EndWaits: true}},
		"requests in flight at the end":                 {limit, Tick{InFlight: 1}, Finish{}},
	} {
		d := New(config)
		require.Equal(t, Take{}, d.Update(start, RequestRead{Run{Deadline: at(never)}}), "before the stop")
		require.Equal(t, Take{}, d.Update(start, SlotAwaited{Run{Deadline: at(never)}}), "before the stop")
		d.Update(start, Begun{Limit: limit})
		require.Equal(t, c.want, d.Update(at(c.now), c.e), name)
	}
}

func TestIdleHostTakesNothingOnceItIsAboutToEnd(t *testing.T) {
	t.Parallel()
	d := New(config)
	d.Update(start, Begun{Limit: limit})
	require.Equal(t, Continue{CloseIdle: true}, d.Update(at(3*time.Second), Tick{}))
	require.Equal(t, Refuse{}, d.Update(at(3*time.Second), RequestRead{Run{Deadline: at(3100 * time.Millisecond)}}))
	require.Equal(t, Continue{CloseIdle: true}, d.Update(at(3050*time.Millisecond), Tick{InFlight: 1}))
	require.Equal(t, Refuse{}, d.Update(at(3060*time.Millisecond), RequestRead{Run{Deadline: at(3100 * time.Millisecond)}}))
	require.Equal(t, Finish{}, d.Update(at(3100*time.Millisecond), Tick{}))
	d.Update(at(3200*time.Millisecond), Begun{Limit: limit})
	require.Equal(t, Refuse{}, d.Update(at(3200*time.Millisecond), RequestRead{Run{Deadline: at(3300 * time.Millisecond)}}))
}

// Callers send requests of any length and deadline until the host has ended.
func TestNoRequestTakenAfterTheNoticeOutlastsTheHost(t *testing.T) {
	t.Parallel()
	type taken struct {
		readAt, endAt time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		d := New(config)
		d.Update(start, Begun{Limit: limit})
		now := start
		var inFlight []taken
		for {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "passedMs")) * time.Millisecond)
			running := inFlight[:0]
			for _, r := range inFlight {
				if r.endAt.After(now) {
					running = append(running, r)
				}
			}
			inFlight = running
			if rapid.Bool().Draw(t, "request") {
				timeLeft := time.Duration(rapid.IntRange(1, 15000).Draw(t, "timeLeftMs")) * time.Millisecond
				needs := time.Duration(rapid.IntRange(0, int(timeLeft.Milliseconds())).Draw(t, "needsMs")) * time.Millisecond
				if _, take := d.Update(now, RequestRead{Run{Deadline: now.Add(timeLeft)}}).(Take); take {
					inFlight = append(inFlight, taken{now, now.Add(needs)})
				} else if now.Sub(start) < config.Notice {
					t.Fatalf("refused while the load balancer sends callers")
				}
				continue
			}
			if _, finished := d.Update(now, Tick{InFlight: len(inFlight)}).(Finish); finished {
				break
			}
			if !now.Before(start.Add(limit)) {
				t.Fatalf("the host has not ended at the limit")
			}
		}
		for _, r := range inFlight {
			if r.readAt.Sub(start) >= config.Notice && now.Before(start.Add(limit)) {
				t.Fatalf("a request taken after the notice was cut")
			}
			if r.readAt.Sub(start) >= config.Notice && r.endAt.After(start.Add(limit)) {
				t.Fatalf("a request taken after the notice outlasts the limit")
			}
		}
		if _, refused := d.Update(now, RequestRead{Run{Deadline: now}}).(Refuse); !refused {
			t.Fatalf("a request was taken after the end")
		}
	})
}

// Guards against LOST and against needless refusals: requests of any usual run time and deadline are sent until the host has ended.
func TestRequestIsTakenIfItMustEndInTimeAndRefusedIfItMayNotAfterTheNotice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		ms := func(from, to int, name string) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
		}
		cfg := Config{Notice: ms(0, 4000, "notice"), RunTime: ms(0, 5000, "runTime"), DeadlineMargin: ms(0, 500, "margin")}
		grace := ms(500, 30000, "grace")
		d := New(cfg)
		d.Update(start, Begun{Limit: grace})
		passed := ms(0, 30000, "passed")
		now := at(passed)
		run := Run{Deadline: now.Add(ms(1, 40000, "timeLeft")), Usual: ms(0, 40000, "usual")}
		left := grace - cfg.DeadlineMargin - passed
		must := run.Deadline.Sub(now) <= left
		usually := run.Usual == 0 || run.Usual <= left
		want := must || passed < cfg.Notice && usually
		_, taken := d.Update(now, RequestRead{run}).(Take)
		require.Equal(t, want, taken, "a request that was read")
		mayBegin := passed < cfg.Notice || grace-passed >= cfg.RunTime
		_, sent := d.Update(now, SlotAwaited{run}).(Take)
		require.Equal(t, must || mayBegin && usually, sent, "a request that waits for a slot")
		if taken && !must {
			require.Less(t, passed, cfg.Notice, "what may outlast the host is taken during the notice only")
		}
	})
}
