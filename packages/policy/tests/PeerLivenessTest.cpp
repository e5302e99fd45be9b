#include "jaylane/policy/PeerLiveness.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Replays a connection with data to send as the kernel sees it, in steps of 10 ms: retransmissions
/// or window probes with exponential backoff, and acknowledgements while the host is alive.
class ReplayedConnection
{
public:
  struct Load
  {
    /// The peer's process does not read, so that its window is closed; otherwise the last segment
    /// is retransmitted.
    bool m_isWindowClosed = true;
    /// The window was closed after segments had been sent for it, which are retransmitted instead
    /// of probes. Their acknowledgements take no data.
    bool m_isWindowShrunk = false;
    /// Time of the host's failure.
    std::optional<milliseconds> m_deathAt;
    /// Largest interval between probes or retransmissions.
    milliseconds m_maxInterval = 1000ms;
    milliseconds m_roundTrip = 100ms;
    /// Share of the probes that are lost, or whose responses are.
    double m_loss = 0;
    /// Part of the time in which no observation is made.
    milliseconds m_suspendedFrom = 0ms;
    milliseconds m_suspendedUntil = 0ms;
    /// Phase of the observations.
    milliseconds m_phase = 0ms;
  };

  ReplayedConnection(const Load& aLoad, unsigned aSeed)
    : m_load(aLoad)
    , m_random(aSeed)
  {
  }

  /// @return when the host was declared dead, if it was within the time.
  std::optional<milliseconds> Run(milliseconds aTime, const PeerLiveness::Options& aOptions)
  {
    PeerLiveness liveness(aOptions);
    for (auto now = 0ms; now <= aTime; now += kTick) {
      Step(now);
      const bool isSuspended = now >= m_load.m_suspendedFrom && now < m_load.m_suspendedUntil;
      if (now % kObservationInterval == m_load.m_phase && !isSuspended &&
          liveness.IsDead(Observe(now), base::MonotonicTime{} + 1h + now)) {
        return now;
      }
    }
    return std::nullopt;
  }

  static constexpr milliseconds kObservationInterval{ 250 };

private:
  static constexpr milliseconds kTick{ 10 };
  static constexpr milliseconds kFirstInterval{ 200 };

  bool IsAlive(milliseconds aNow) const { return !m_load.m_deathAt || aNow < *m_load.m_deathAt; }

  void Step(milliseconds aNow)
  {
    if (m_ackDueAt && aNow >= *m_ackDueAt) {
      m_ackDueAt.reset();
      m_lastAck = aNow;
      m_unanswered = m_load.m_isWindowShrunk ? m_unanswered : 0;
      if (!m_load.m_isWindowClosed) { // New data follow each acknowledgement.
        m_interval = kFirstInterval;
        Send(aNow);
        return;
      }
    }
    if (aNow >= m_nextSend) {
      ++m_unanswered;
      m_interval = std::min(m_interval * 2, m_load.m_maxInterval);
      Send(aNow);
    }
  }

  void Send(milliseconds aNow)
  {
    m_nextSend = aNow + m_interval;
    const bool isLost = std::bernoulli_distribution(m_load.m_loss)(m_random);
    if (IsAlive(aNow) && !isLost) {
      m_ackDueAt = aNow + m_load.m_roundTrip;
    }
  }

  PeerLiveness::Observation Observe(milliseconds aNow) const
  {
    return { m_load.m_isWindowClosed && !m_load.m_isWindowShrunk ? 0U : 1U,
             m_unanswered,
             aNow - m_lastAck };
  }

  Load m_load;
  std::mt19937 m_random;
  milliseconds m_interval = kFirstInterval;
  milliseconds m_nextSend = kFirstInterval;
  milliseconds m_lastAck = 0ms;
  std::optional<milliseconds> m_ackDueAt;
  std::uint32_t m_unanswered = 0;
};

// Guards against ending an upload whose upstream pauses in reading: TCP_USER_TIMEOUT ended it after
// two seconds, although the upstream's kernel answered each window probe.
TEST(PeerLivenessTest, APausedPeerIsNotDead)
{
  for (unsigned seed = 1; seed <= 50; ++seed) {
    for (const bool isShrunk : { false, true }) {
      ReplayedConnection::Load load;
      load.m_isWindowShrunk = isShrunk;
      load.m_maxInterval = seed % 2 == 0 ? 1000ms : 120'000ms;
      load.m_loss = 0.01;
      load.m_phase = milliseconds{ seed * 10 % 250 };
      EXPECT_FALSE(ReplayedConnection(load, seed).Run(60s, {})) << "seed " << seed;
    }
  }
}

// Guards against missing a host that fails: idempotent requests are repeated only after that.
TEST(PeerLivenessTest, ADeadHostIsFoundWithinFourSeconds)
{
  for (const bool isWindowClosed : { true, false }) {
    for (milliseconds deathAt = 0ms; deathAt <= 20s; deathAt += 130ms) {
      ReplayedConnection::Load load;
      load.m_isWindowClosed = isWindowClosed;
      load.m_deathAt = deathAt;
      const auto foundAt = ReplayedConnection(load, 1).Run(deathAt + 10s, {});
      ASSERT_TRUE(foundAt) << deathAt.count();
      EXPECT_GE(*foundAt - deathAt,
                2000ms - load.m_roundTrip - ReplayedConnection::kObservationInterval)
        << deathAt.count();
      EXPECT_LE(*foundAt - deathAt, 4000ms) << deathAt.count();
    }
  }
}

// Guards against taking packet loss for a failure of the host.
TEST(PeerLivenessTest, LostSegmentsAreNotADeadHost)
{
  for (unsigned seed = 1; seed <= 50; ++seed) {
    ReplayedConnection::Load load;
    load.m_isWindowClosed = false;
    load.m_loss = 0.05;
    EXPECT_FALSE(ReplayedConnection(load, seed).Run(20s, {})) << "seed " << seed;
  }
}

// Guards against ending sound connections when this process goes on after it was suspended.
TEST(PeerLivenessTest, TimeInWhichThisProcessWasSuspendedIsNotSilence)
{
  for (milliseconds from = 1s; from <= 5s; from += 70ms) {
    ReplayedConnection::Load load;
    load.m_suspendedFrom = from;
    load.m_suspendedUntil = from + 8s;
    EXPECT_FALSE(ReplayedConnection(load, 1).Run(20s, {})) << from.count();
  }
  PeerLiveness liveness({});
  const base::MonotonicTime start = base::MonotonicTime{} + 1h;
  EXPECT_FALSE(liveness.IsDead({ 1, 0, 0ms }, start));
  EXPECT_FALSE(liveness.IsDead({ 1, 3, 9000ms }, start + 9s)) << "its kernel was suspended as well";
}

// Guards against counting the time before anything was sent on an idle connection.
TEST(PeerLivenessTest, TheLastAcknowledgementOfAnIdleConnectionMayBeOld)
{
  PeerLiveness liveness({});
  const base::MonotonicTime start = base::MonotonicTime{} + 1h;
  EXPECT_FALSE(liveness.IsDead({ 0, 0, 60s }, start));
  EXPECT_FALSE(liveness.IsDead({ 1, 3, 61s }, start + 250ms));
  EXPECT_FALSE(liveness.IsDead({ 1, 3, 62s }, start + 1750ms));
  EXPECT_TRUE(liveness.IsDead({ 1, 3, 63s }, start + 2750ms));
}

} // namespace
} // namespace jaylane::policy
