#include "StoreSync.h"

#include "Compression.h"
#include "jaylane/base/ContainErrors.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace jaylane::gateway {

namespace {

using std::chrono::milliseconds;

/// A watch without changes ends after a random time between these limits. It is no evidence that
/// the store has no change: its connection may be silent. That is noticed by the lead watcher, from
/// which the other VMs learn of changes.
constexpr milliseconds kMinWatchTime{ 16'000 };
constexpr milliseconds kMaxWatchTime{ 19'000 };
/// Time after the end of a watch within which the store must have responded.
constexpr milliseconds kWatchResponseMargin{ 1500 };
/// The same times for the lead watcher, as parts of the time within which a change must be in
/// force. Evacuations have twice the time.
constexpr double kLeadWatchShare = 0.4;
constexpr int kLeadMarginDivisor = 8;
constexpr int kEvacuationFactor = 2;
/// The margin is at least this multiple of the time that the store has needed lately, so that a
/// slow store is not taken for silent connections. Weight of the last response in that time.
constexpr int kLeadMarginFactor = 3;
constexpr int kResponseDelayWeightDivisor = 2;
/// A watch on a new connection is answered at once, which shows that the connection works.
constexpr milliseconds kRenewedWatchTime{ 1 };
/// Age up to which a connection is not replaced because others are silent.
constexpr milliseconds kNewConnectionAge{ 2000 };
/// Margins after which a watch on a new connection is no longer taken for a slow one.
constexpr int kDoubtMargins = 2;
constexpr milliseconds kListTimeout{ 1500 };
/// Limit of the transfer of a response of the store, as a multiple of the time within which a
/// change must be in force. It only ends a transfer that hardly goes on: a slow one that was begun
/// anew would take as long again.
constexpr int kMaxTransferFactor = 4;
/// The limit for responses of peers, as a part of that time, so that another peer or the store can
/// still deliver the change.
constexpr int kPeerTransferDivisor = 2;
/// Delay before the next watch, so that one call fetches several changes, because each call is
/// charged. Upstreams change most often and announce their drain ahead: their delay is half of
/// the drain time, which leaves the other half for the call.
constexpr milliseconds kCoalesceDelay{ 250 };
constexpr int kCoalesceDrainDivisor = 2;
/// The same if other VMs rely on this one: they learn of a change later than this VM.
constexpr int kDependentsDrainDivisor = 4;
/// Delays of the first watch after the first list, for an elected VM and, as a part of the drain
/// time, for others. By then the VMs of the zone have heard of each other, and of the watches of
/// the elected ones.
constexpr milliseconds kElectedWatchDelay{ 800 };
constexpr int kFallbackWatchDrainDivisor = 2;
constexpr milliseconds kInitialBackoff{ 100 };
constexpr milliseconds kMaxBackoff{ 800 };
/// The same after the second failure, for VMs that were not elected to watch. All of them try the
/// store during an outage.
constexpr milliseconds kFallbackBackoff{ 2500 };
/// Members are listed again this long after the start, when all VMs that started together have
/// registered, and then only now and then, because new VMs announce themselves to their peers.
constexpr milliseconds kInitialMemberListDelay{ 6000 };
constexpr milliseconds kMemberListInterval{ 30'000 };
/// Time after a return of the store from an older copy within which a VM looks for its own object.
/// VMs that are lost together register again spread over this time, since the store limits writes.
constexpr milliseconds kMinRegistrationCheckDelay{ 500 };
constexpr milliseconds kMaxRegistrationCheckDelay{ 5000 };
/// Consecutive failed calls after which peers are asked as well. Single failures are common.
constexpr std::uint32_t kFailuresBeforeAskingPeers = 2;
/// Time within which a peer must begin to respond to a fetch of all objects, and limit of pauses
/// after that. For changes it is a part of the drain time, since another peer or the store may have
/// to be asked afterwards.
constexpr milliseconds kPeerTimeout{ 500 };
constexpr int kPeerTimeoutDrainDivisor = 8;
/// Delay before another peer is asked. The change reaches most peers in the meantime.
constexpr milliseconds kPeerRetryDelay{ 200 };
/// Time after which the store answers that it has no change either, as a part of the drain time.
constexpr int kCatchUpDrainDivisor = 4;
/// Peers that a VM without a watch asks for a change before it asks the store.
constexpr std::uint32_t kMaxPeerFetchFailures = 2;
/// Time within which a watch should have delivered a change that a peer has seen, at most a part of
/// the time within which the change must be in force. A peer is asked for it then, and after
/// kChecksBeforeRestart such checks the connection to the store is replaced.
constexpr milliseconds kBehindCheckInterval{ 700 };
constexpr int kBehindCheckDivisor = 8;
constexpr std::uint32_t kChecksBeforeRestart = 3;
/// Announced revisions that are remembered while this VM lacks them. The first ones tell for how
/// long it has been behind.
constexpr std::size_t kMaxAnnouncedRevisions = 256;
/// Largest snapshot of a peer, which has the objects of all pages of a list.
constexpr std::uint64_t kMaxPeerBytes = 16ULL << 20;
constexpr std::string_view kSnapshotPathPrefix = "/snapshots/";
constexpr std::string_view kAfterQuery = "?after=";
constexpr std::string_view kEraQuery = "&era=";

const char* KindName(ObjectKind aKind)
{
  switch (aKind) {
    case ObjectKind::Configuration:
      return "configuration";
    case ObjectKind::Upstreams:
      return "upstreams";
    case ObjectKind::Evacuations:
      return "evacuations";
    case ObjectKind::Members:
      return "members";
    case ObjectKind::Quarantines:
      return "quarantines";
  }
  return "unknown";
}

/// @return the number that follows a part of a request target; nothing if there is none.
std::optional<std::uint64_t> NumberAfter(std::string_view aTarget, std::string_view aPart)
{
  const std::size_t begin = aTarget.find(aPart);
  if (begin == aTarget.npos) {
    return std::nullopt;
  }
  const std::string_view digits = aTarget.substr(begin + aPart.size());
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return parsed.ec == std::errc{} ? std::optional(number) : std::nullopt;
}

/// Reports the watchers' calls to the probe in addition, and sets m_onFollowingChanged and
/// m_onSilence.
StoreSync::Hooks WithOwnHooks(StoreSync::Hooks aHooks,
                              StoreProbe& aProbe,
                              const std::function<void()>& aReport,
                              const std::function<void()>& aOnSilence)
{
  for (auto* kind : { &aHooks.m_configuration, &aHooks.m_upstreams, &aHooks.m_evacuations }) {
    kind->m_onFollowingChanged = aReport;
    kind->m_onSilence = aOnSilence;
    kind->m_onCallCompleted =
      [&aProbe, inner = std::move(kind->m_onCallCompleted)](StoreCallResult aResult) {
        aProbe.OnCallCompleted(aResult != StoreCallResult::Unanswered);
        inner(aResult);
      };
  }
  return aHooks;
}

} // namespace

KindWatcher::KindWatcher(boost::asio::io_context& aIo,
                         const GatewaySettings& aSettings,
                         const StoreDialect& aDialect,
                         const base::Clock& aClock,
                         base::AsyncLog& aLog,
                         StoreEra& aEra,
                         ObjectKind aKind,
                         Hooks aHooks)
  : m_io(aIo)
  , m_dialect(aDialect)
  , m_clock(aClock)
  , m_log(aLog)
  , m_era(aEra)
  , m_kind(aKind)
  , m_drainTime(aSettings.m_drainTime)
  , m_changeTime(std::min(aSettings.m_drainTime, aSettings.m_configurationTime))
  , m_hooks(std::move(aHooks))
  , m_storeAddress(aSettings.m_storeAddress)
  , m_fetch(std::make_shared<HttpFetch>(aIo, aSettings.m_storeAddress))
  , m_timer(aIo)
  , m_behindTimer(aIo)
  , m_random(std::random_device{}())
{
}

void KindWatcher::ScheduleAfter(milliseconds aPause, std::function<void()> aNext)
{
  m_timer.expires_after(aPause);
  m_timer.async_wait([next = std::move(aNext)](const boost::system::error_code& aError) {
    if (!aError) {
      next();
    }
  });
}

void KindWatcher::List(const std::string& aAfter)
{
  if (aAfter.empty()) {
    m_listedObjects.clear();
    m_revisionAtList = m_snapshot.Revision();
  }
  m_peerRevisionAtCall = m_peerRevision;
  FetchRequest request{
    "GET", m_dialect.ListTarget(m_kind, aAfter, Freshness::Current), {}, kListTimeout
  };
  request.m_transfer = StoreTransfer(kListTimeout);
  m_fetch->Start(std::move(request), [this, after = aAfter](const FetchResponse& aResponse) {
    if (!base::ContainErrors(m_log, "list", [&] { OnListed(aResponse, after); })) {
      OnFailure(aResponse);
    }
  });
}

void KindWatcher::OnListed(const FetchResponse& aResponse, const std::string& aAfter)
{
  const std::uint64_t era = m_era.Observe(aResponse);
  base::Result<ObjectBatch> batch =
    aResponse.m_status == 200
      ? m_dialect.ParseList(aResponse.m_body)
      : base::Result<ObjectBatch>(std::make_error_code(std::errc::io_error));
  if (!batch) {
    OnFailure(aResponse);
    return;
  }
  MeasureResponseDelay(aResponse.m_delay.value_or(milliseconds{ 0 }));
  LogUnreadable(batch->m_unreadable);
  batch->SetEra(era);
  if (aAfter.empty()) {
    m_listRevision = batch->m_revision;
  }
  if (era != m_listRevision.Era() || era < m_era.Current()) {
    OnFailure(aResponse); // The store has returned from an older copy meanwhile.
    return;
  }
  std::ranges::move(batch->m_objects, std::back_inserter(m_listedObjects));
  if (batch->m_hasMore) {
    const std::string last =
      m_listedObjects.empty() ? std::string{} : m_listedObjects.back().m_name;
    if (last == aAfter) {
      OnFailure(aResponse); // No object of the page has a readable name to go on from.
    } else {
      List(last);
    }
    return;
  }
  if (m_listRevision < m_revisionAtList) {
    // A list reflects all writes of before its call, so the store has lost some and names no era.
    m_log.Write(base::LogRecord("store_list_outdated")
                  .Add("kind", KindName(m_kind))
                  .Add("present_revision", m_revisionAtList.Number())
                  .Add("revision", m_listRevision.Number()));
    OnFailure(aResponse);
    return;
  }
  OnSuccess();
  if (m_listRevision >= m_snapshot.Revision()) { // A peer's snapshot may be newer.
    AdoptList(std::move(m_listedObjects), m_listRevision, "list");
    LogChange("list");
    ReportRevision();
  }
  CheckPeerRevision(m_listRevision);
  m_listedObjects.clear();
  if (m_hasList) {
    Watch();
  } else {
    m_hasList = true;
    ScheduleFirstWatch();
  }
}

void KindWatcher::AdoptList(std::vector<StoredObject> aObjects,
                            policy::StoreRevision aRevision,
                            const char* aSource)
{
  const policy::StoreRevision present = m_snapshot.Revision();
  if (present != policy::StoreRevision{} && aRevision.Era() != present.Era()) {
    m_log.Write(base::LogRecord("store_era_adopted")
                  .Add("kind", KindName(m_kind))
                  .Add("source", aSource)
                  .Add("previous_era", present.Era())
                  .Add("previous_revision", present.Number())
                  .Add("era", aRevision.Era())
                  .Add("revision", aRevision.Number()));
  }
  m_responses.Clear();
  std::vector<StoredObject> removals = m_snapshot.Replace(aObjects, aRevision);
  std::ranges::move(removals, std::back_inserter(aObjects));
  m_hooks.m_onList(std::move(aObjects));
}

void KindWatcher::ScheduleFirstWatch()
{
  m_isPaused = true;
  m_isFirstWatchPending = true;
  const milliseconds electedDelay = std::min(kElectedWatchDelay, FirstWatchDelay());
  ScheduleAfter(electedDelay, [this, electedDelay] {
    if (m_role == policy::StoreRole::Elected) {
      Watch();
    } else {
      ScheduleAfter(FirstWatchDelay() - electedDelay, [this] { Watch(); });
    }
  });
}

milliseconds KindWatcher::FirstWatchDelay() const
{
  return m_drainTime / kFallbackWatchDrainDivisor;
}

milliseconds KindWatcher::PeerTimeout() const
{
  return m_snapshot.Revision() == policy::StoreRevision{}
           ? kPeerTimeout
           : std::min(kPeerTimeout, m_drainTime / kPeerTimeoutDrainDivisor);
}

TransferLimits KindWatcher::StoreTransfer(milliseconds aPause) const
{
  return { aPause, m_changeTime * kMaxTransferFactor };
}

TransferLimits KindWatcher::PeerTransfer() const
{
  const bool hasObjects = m_snapshot.Revision() != policy::StoreRevision{};
  return { PeerTimeout(), m_changeTime / (hasObjects ? kPeerTransferDivisor : 1) };
}

milliseconds KindWatcher::BehindCheckInterval() const
{
  return std::min(kBehindCheckInterval, m_changeTime / kBehindCheckDivisor);
}

milliseconds KindWatcher::LeadWatchTime() const
{
  const int factor = m_kind == ObjectKind::Evacuations ? kEvacuationFactor : 1;
  return std::chrono::duration_cast<milliseconds>(m_changeTime * (kLeadWatchShare * factor));
}

milliseconds KindWatcher::WatchTime()
{
  return m_isLead ? LeadWatchTime()
                  : milliseconds{ std::uniform_int_distribution<milliseconds::rep>(
                      kMinWatchTime.count(), kMaxWatchTime.count())(m_random) };
}

milliseconds KindWatcher::LeadMargin() const
{
  return std::clamp(
    m_responseDelay * kLeadMarginFactor, m_changeTime / kLeadMarginDivisor, kWatchResponseMargin);
}

milliseconds KindWatcher::ResponseMargin() const
{
  return m_isLead && !m_isRenewed ? LeadMargin() : kWatchResponseMargin;
}

bool KindWatcher::IsInDoubt() const
{
  return m_isWatching && m_isRenewed && !m_fetch->IsReceiving() &&
         WatchAge() >= LeadMargin() * kDoubtMargins;
}

void KindWatcher::MeasureResponseDelay(milliseconds aDelay)
{
  m_responseDelay += (aDelay - m_responseDelay) / kResponseDelayWeightDivisor;
}

milliseconds KindWatcher::NextBackoff()
{
  m_backoff = std::clamp(m_backoff * 2, kInitialBackoff, kMaxBackoff);
  if (m_role == policy::StoreRole::Elected || m_failures <= 1) {
    return m_backoff;
  }
  return kFallbackBackoff;
}

milliseconds KindWatcher::CoalesceDelay() const
{
  if (m_kind != ObjectKind::Upstreams) {
    return kCoalesceDelay;
  }
  return m_drainTime / (m_hasDependents ? kDependentsDrainDivisor : kCoalesceDrainDivisor);
}

void KindWatcher::SetRole(policy::StoreRole aRole, bool aHasDependents)
{
  m_role = aRole;
  m_hasDependents = aHasDependents;
  if (m_isPaused && !m_isFirstWatchPending && m_role != policy::StoreRole::Relying) {
    Watch();
  }
}

void KindWatcher::Watch()
{
  m_isFirstWatchPending = false;
  m_isBehindCheckPending = false;
  m_behindTimer.cancel();
  m_isPaused = m_role == policy::StoreRole::Relying;
  if (m_isPaused) {
    // Peers that reach the store provide the changes from here on.
    m_hasFailed = false;
    m_failures = 0;
  }
  m_hooks.m_onFollowingChanged();
  if (m_isPaused) {
    return;
  }
  StartWatch(WatchTime());
}

void KindWatcher::SetLead(bool aIsLead)
{
  if (std::exchange(m_isLead, aIsLead) != aIsLead && m_isLead) {
    RenewWatch(); // The present watch is a long one and may be silent.
  }
}

void KindWatcher::RenewWatch()
{
  if (!m_isRenewed) {
    RestartWatch();
  }
}

bool KindWatcher::IsConnectionNew() const
{
  return m_restartedAt && m_clock.Monotonic() - *m_restartedAt < kNewConnectionAge;
}

void KindWatcher::RestartWatch()
{
  if (!m_isWatching) {
    m_fetch->CloseIfIdle();
    return;
  }
  if (m_fetch->IsReceiving()) {
    return; // If it stops arriving, the limit of pauses ends it.
  }
  m_fetch->Close();
  m_fetch = std::make_shared<HttpFetch>(m_io, m_storeAddress);
  m_isRenewed = true;
  m_behindTimer.cancel();
  m_isBehindCheckPending = false; // The limit of the call decides whether this one is silent, too.
  m_restartedAt = m_clock.Monotonic();
  StartWatch(kRenewedWatchTime);
}

void KindWatcher::OnStoreRestored()
{
  // All other calls, and the watches that are planned, find out by themselves.
  if (m_isWatching) {
    m_fetch->Close();
    m_isWatching = false;
    m_behindTimer.cancel();
    m_isBehindCheckPending = false;
    List({});
  }
}

void KindWatcher::StartWatch(milliseconds aWait)
{
  if (m_snapshot.Revision().Era() < m_era.Current()) {
    m_isWatching = false;
    List({});
    return;
  }
  ++m_watchNumber;
  m_isWatching = true;
  m_watchStarted = m_clock.Monotonic();
  m_watchRevision = m_snapshot.Revision();
  m_watchTime = aWait;
  m_peerRevisionAtCall = m_peerRevision;
  FetchRequest request{
    "GET", m_dialect.WatchTarget(m_kind, m_snapshot.Revision(), aWait), {}, aWait + ResponseMargin()
  };
  request.m_transfer = StoreTransfer(ResponseMargin());
  m_fetch->Start(std::move(request), [this](const FetchResponse& aResponse) {
    if (!base::ContainErrors(m_log, "watch", [&] { OnWatched(aResponse); })) {
      OnFailure(aResponse);
    }
  });
}

void KindWatcher::OnWatched(const FetchResponse& aResponse)
{
  m_isWatching = false;
  const std::uint64_t era = m_era.Observe(aResponse);
  if (aResponse.m_status == 410) {
    m_log.Write(base::LogRecord("store_history_lost").Add("kind", KindName(m_kind)));
    List({});
    return;
  }
  base::Result<ObjectBatch> batch =
    aResponse.m_status == 200
      ? m_dialect.ParseWatch(aResponse.m_body)
      : base::Result<ObjectBatch>(std::make_error_code(std::errc::io_error));
  if (!batch) {
    m_log.Write(base::LogRecord("store_watch_failed")
                  .Add("kind", KindName(m_kind))
                  .Add("status", aResponse.m_status)
                  .Add("timed_out", aResponse.m_hasTimedOut)
                  .Add("bytes", aResponse.m_receivedBytes)
                  .Add("age_ms", WatchAge()));
    if (aResponse.m_hasTimedOut && !m_isRenewed) {
      m_isWatching = true;
      m_isOverdue = !aResponse.m_wasArriving;
      RestartWatch();
    } else {
      OnFailure(aResponse);
    }
    return;
  }
  if (batch->m_objects.empty() || m_isRenewed) {
    const milliseconds delay = aResponse.m_delay.value_or(milliseconds{ 0 });
    MeasureResponseDelay(std::max(milliseconds{ 0 }, delay - m_watchTime));
  }
  batch->SetEra(era);
  if (era != m_watchRevision.Era()) {
    // The store has given out the watch's revision anew, so that changes before it may be missing.
    List({});
    return;
  }
  OnSuccess();
  CheckPeerRevision(batch->m_revision);
  LogUnreadable(batch->m_unreadable);
  // A peer's snapshot that is newer than this response already contains its changes.
  if (batch->m_objects.empty() || batch->m_revision < m_snapshot.Revision()) {
    if (batch->m_revision > m_snapshot.Revision()) {
      m_responses.Clear();
      m_snapshot.Apply({}, batch->m_revision);
    }
    Watch();
    return;
  }
  m_responses.Clear();
  // Objects that a peer has sent meanwhile are not reported again.
  auto applied = m_snapshot.Apply(std::move(batch->m_objects), batch->m_revision);
  if (!applied.empty()) {
    m_hooks.m_onChanges(std::move(applied));
  }
  LogChange("watch");
  ReportRevision();
  if (m_role == policy::StoreRole::Relying) {
    Watch();
    return;
  }
  ScheduleAfter(CoalesceDelay(), [this] { Watch(); });
}

void KindWatcher::CheckPeerRevision(policy::StoreRevision aRevision)
{
  if (m_peerRevision == m_peerRevisionAtCall && m_peerRevision > aRevision) {
    m_log.Write(base::LogRecord("peer_revision_ignored")
                  .Add("kind", KindName(m_kind))
                  .Add("peer", m_newestPeer)
                  .Add("peer_revision", m_peerRevision.Number())
                  .Add("revision", aRevision.Number()));
    m_peerRevision = aRevision;
  }
  TrimAnnounced();
}

void KindWatcher::TrimAnnounced()
{
  m_announced.erase(m_announced.begin(), m_announced.upper_bound(m_snapshot.Revision()));
  m_announced.erase(m_announced.upper_bound(m_peerRevision), m_announced.end());
}

milliseconds KindWatcher::BehindFor() const
{
  const auto first = m_announced.upper_bound(m_snapshot.Revision());
  return first == m_announced.end()
           ? milliseconds{ 0 }
           : std::chrono::duration_cast<milliseconds>(m_clock.Monotonic() - first->second);
}

void KindWatcher::ReportRevision()
{
  TrimAnnounced();
  const policy::StoreRevision newest = std::min(m_snapshot.NewestChange(), m_snapshot.Revision());
  if (newest > m_reportedRevision) {
    m_reportedRevision = newest;
    m_hooks.m_onRevision(m_reportedRevision);
  }
}

void KindWatcher::OnPeerRevision(policy::StoreRevision aRevision, const std::string& aPeer)
{
  if (aRevision > m_peerRevision) {
    m_peerRevision = aRevision;
    m_newestPeer = aPeer;
    if (IsBehind() && m_announced.size() < kMaxAnnouncedRevisions) {
      m_announced.emplace(aRevision, m_clock.Monotonic());
    }
  }
  if (!IsBehind()) {
    return;
  }
  if (m_isPaused || m_hasFailed) {
    if (!m_isPeerFetchPending && aRevision > m_snapshot.Revision()) {
      m_behindTimer.cancel();
      FetchFromPeer(aPeer);
    }
  } else if (m_isWatching && (!m_isRenewed || m_fetch->IsReceiving()) && !m_isBehindCheckPending) {
    m_isBehindCheckPending = true;
    ScheduleBehindCheck(m_watchNumber, 0);
  }
}

void KindWatcher::ScheduleBehindCheck(std::uint32_t aWatch, std::uint32_t aChecks)
{
  m_behindTimer.expires_after(BehindCheckInterval());
  m_behindTimer.async_wait([this, aWatch, aChecks](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    const bool isSameWatch = m_isWatching && m_watchNumber == aWatch;
    m_isBehindCheckPending = isSameWatch && IsWatchBehind();
    if (!m_isBehindCheckPending) {
      return;
    }
    m_log.Write(base::LogRecord("store_watch_behind")
                  .Add("kind", KindName(m_kind))
                  .Add("revision", m_watchRevision.Number())
                  .Add("peer_revision", m_peerRevision.Number())
                  .Add("checks", aChecks + 1)
                  .Add("bytes", m_fetch->ReceivedBytes()));
    if (m_fetch->IsReceiving()) {
      // A peer's response would share the link and the processor with this one, so that peers are
      // asked only if the transfer takes long.
      if (IsBehind() && aChecks + 1 >= kChecksBeforeRestart) {
        aChecks + 1 == kChecksBeforeRestart ? FetchFromPeer(m_newestPeer) : FetchFromNextPeer();
      }
      ScheduleBehindCheck(aWatch, aChecks + 1);
      return;
    }
    if (m_isRenewed) {
      m_isBehindCheckPending = false; // The limit of the call decides whether it is silent.
      return;
    }
    if (aChecks + 1 < kChecksBeforeRestart) {
      if (IsBehind()) {
        aChecks == 0 ? FetchFromPeer(m_newestPeer) : FetchFromNextPeer();
      }
      ScheduleBehindCheck(aWatch, aChecks + 1);
      return;
    }
    m_isBehindCheckPending = false;
    m_isOverdue = true;
    RestartWatch();
  });
}

void KindWatcher::OnSuccess()
{
  m_hooks.m_onCallCompleted(StoreCallResult::Succeeded);
  m_answeredAt = m_clock.Monotonic();
  m_backoff = milliseconds{ 0 };
  m_failures = 0;
  if (std::exchange(m_isOverdue, false)) {
    m_hooks.m_onSilence(); // The store answers on a new connection.
  }
  m_isRenewed = false;
  if (m_hasFailed) {
    m_hasFailed = false;
    m_log.Write(base::LogRecord("dependency_regained")
                  .Add("dependency", "store")
                  .Add("kind", KindName(m_kind)));
    m_hooks.m_onFollowingChanged();
  }
}

void KindWatcher::OnFailure(const FetchResponse& aResponse)
{
  m_isRenewed = false;
  m_isOverdue = false;
  m_responses.Clear();
  m_hooks.m_onCallCompleted(aResponse.IsTransientFailure() ? StoreCallResult::Unanswered
                                                           : StoreCallResult::Unusable);
  if (!m_hasFailed) {
    m_hasFailed = true;
    m_log.Write(
      base::LogRecord("dependency_lost").Add("dependency", "store").Add("kind", KindName(m_kind)));
  }
  m_hooks.m_onFollowingChanged();
  if (++m_failures >= kFailuresBeforeAskingPeers) {
    FetchFromNextPeer();
  }
  ScheduleAfter(NextBackoff(), [this] {
    if (m_hasList && m_role == policy::StoreRole::Relying) {
      Watch();
    } else {
      List({}); // Complete even if the store has dropped events since the last watch.
    }
  });
}

void KindWatcher::FetchFromNextPeer()
{
  if (!m_peers.empty()) {
    FetchFromPeer(m_peers[m_nextPeer++ % m_peers.size()]);
  }
}

void KindWatcher::FetchFromPeer(const std::string& aPeer)
{
  if (m_isPeerFetchPending && m_peerFetch->IsReceiving()) {
    return;
  }
  if (!m_peerFetch || m_isPeerFetchPending || aPeer != m_peerFetchAddress) {
    if (m_peerFetch) {
      m_peerFetch->Close();
    }
    m_peerFetch = std::make_shared<HttpFetch>(m_io, aPeer);
    m_peerFetchAddress = aPeer;
  }
  m_isPeerFetchPending = true;
  m_peerFetchStarted = m_clock.Monotonic();
  const policy::StoreRevision present = m_snapshot.Revision();
  FetchRequest request{ "GET",
                        fmt::format("{}{}{}{}{}{}",
                                    kSnapshotPathPrefix,
                                    KindName(m_kind),
                                    kAfterQuery,
                                    present.Number(),
                                    kEraQuery,
                                    present.Era()),
                        {},
                        PeerTimeout(),
                        kMaxPeerBytes,
                        /*m_acceptsGzip=*/true };
  request.m_transfer = PeerTransfer();
  m_peerFetch->Start(std::move(request), [this, peer = aPeer](const FetchResponse& aResponse) {
    OnPeerResponse(peer, aResponse);
  });
}

void KindWatcher::OnPeerResponse(const std::string& aPeer, const FetchResponse& aResponse)
{
  m_isPeerFetchPending = false;
  if (aResponse.m_status != 200 && aResponse.m_status != 404) { // 404: it has nothing newer.
    m_log.Write(base::LogRecord("peer_fetch_failed")
                  .Add("peer", aPeer)
                  .Add("kind", KindName(m_kind))
                  .Add("status", aResponse.m_status)
                  .Add("timed_out", aResponse.m_hasTimedOut)
                  .Add("bytes", aResponse.m_receivedBytes)
                  .Add("age_ms", m_clock.Monotonic() - m_peerFetchStarted));
  }
  const bool isAdopted = aResponse.m_status == 200 && AdoptPeerResponse(aPeer, aResponse.m_body);
  m_peerFetchFailures = isAdopted ? 0 : m_peerFetchFailures + 1;
  if (m_isPaused && IsBehind()) {
    ContinueCatchUp();
  }
}

void KindWatcher::ContinueCatchUp()
{
  if (m_peerFetchFailures == 0) {
    FetchFromPeer(m_newestPeer);
    return;
  }
  if (m_peerFetchFailures < kMaxPeerFetchFailures && !m_peers.empty()) {
    m_behindTimer.expires_after(kPeerRetryDelay);
    m_behindTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError && m_isPaused && !m_isPeerFetchPending && IsBehind()) {
        FetchFromNextPeer();
      }
    });
    return;
  }
  m_log.Write(base::LogRecord("peers_without_change")
                .Add("kind", KindName(m_kind))
                .Add("revision", m_snapshot.Revision().Number())
                .Add("peer_revision", m_peerRevision.Number()));
  m_peerFetchFailures = 0;
  m_isPaused = false;
  m_fetch->CloseIfIdle(); // Its connection has been idle for long and may be silent.
  // The store responds to a watch with the missing changes at once; a list would take longer.
  StartWatch(m_drainTime / kCatchUpDrainDivisor);
}

bool KindWatcher::AdoptPeerResponse(const std::string& aPeer, const std::string& aBody)
{
  const policy::StoreRevision present = m_snapshot.Revision();
  if (const auto changes = StoreChanges::FromJson(aBody)) {
    const bool hasNews = m_snapshot.HasNews(*changes);
    auto applied = m_snapshot.ApplyPeerChanges(*changes);
    if (!applied) {
      return false;
    }
    m_responses.Clear();
    if (!hasNews && m_watchRevision >= present) {
      // A list tells of removals later than they happened. The watch has delivered all of these.
      m_watchRevision = std::max(m_watchRevision, m_snapshot.Revision());
    }
    m_hooks.m_onChanges(std::move(*applied));
  } else {
    auto snapshot = StoreSnapshot::FromJson(aBody);
    if (!snapshot) {
      m_log.Write(base::LogRecord("peer_snapshot_rejected")
                    .Add("peer", aPeer)
                    .Add("kind", KindName(m_kind))
                    .Add("reason", snapshot.GetError().Message()));
      return false;
    }
    if (snapshot->Revision() <= present) {
      return false;
    }
    m_hasList = true;
    m_era.ObserveAtPeer(snapshot->Revision().Era());
    AdoptList(snapshot->Objects(), snapshot->Revision(), "peer");
  }
  m_log.Write(base::LogRecord("peer_snapshot")
                .Add("peer", aPeer)
                .Add("kind", KindName(m_kind))
                .Add("present_revision", present.Number())
                .Add("revision", m_snapshot.Revision().Number()));
  LogChange("peer");
  ReportRevision();
  return true;
}

std::optional<InfoResponse> KindWatcher::SnapshotAfter(policy::StoreRevision aAfter,
                                                       bool aAcceptsGzip)
{
  if (m_hasFailed || m_snapshot.Revision() <= aAfter) {
    return std::nullopt;
  }
  if (aAfter.Number() == 0 || aAfter.Era() != m_snapshot.Revision().Era()) {
    return m_responses.Get({}, aAcceptsGzip, [this] { return m_snapshot.ToJson(); });
  }
  const policy::StoreRevision since = m_snapshot.EarliestEquivalent(aAfter);
  return m_responses.Get(
    since, aAcceptsGzip, [this, since] { return m_snapshot.MakeChanges(since).ToJson(); });
}

milliseconds KindWatcher::WatchAge() const
{
  return std::chrono::duration_cast<milliseconds>(m_clock.Monotonic() - m_watchStarted);
}

void KindWatcher::LogChange(const char* aSource)
{
  const policy::StoreRevision newest = std::min(m_snapshot.NewestChange(), m_snapshot.Revision());
  if (newest <= m_reportedRevision) {
    return;
  }
  base::LogRecord record("store_change");
  record.Add("kind", KindName(m_kind)).Add("source", aSource).Add("revision", newest.Number());
  if (m_watchNumber > 0) {
    record.Add("watch_age_ms", WatchAge());
  }
  m_log.Write(record);
}

void KindWatcher::LogUnreadable(std::uint32_t aCount)
{
  if (aCount > 0 && aCount != m_unreadableCount) {
    m_log.Write(base::LogRecord("store_objects_unreadable")
                  .Add("kind", KindName(m_kind))
                  .Add("objects", aCount));
  }
  m_unreadableCount = aCount;
}

StoreSync::StoreSync(boost::asio::io_context& aIo,
                     const GatewaySettings& aSettings,
                     const StoreDialect& aDialect,
                     const base::Clock& aClock,
                     base::AsyncLog& aLog,
                     Json::Value aMember,
                     Hooks aHooks)
  : m_settings(aSettings)
  , m_dialect(aDialect)
  , m_log(aLog)
  , m_member(std::move(aMember))
  , m_io(aIo)
  , m_probe(
      aIo,
      aSettings.m_storeAddress,
      aDialect.ListTarget(ObjectKind::Evacuations, {}, Freshness::MayBeStale),
      aClock,
      aLog,
      [this] { return ResponseDelay(); },
      [this, inner = std::move(aHooks.m_onStoreReachable)](bool aIsReachable) {
        inner(aIsReachable);
        if (aIsReachable) {
          OnStoreReachable();
        }
      })
  , m_hooks(WithOwnHooks(
      std::move(aHooks),
      m_probe,
      [this] { ReportFollowing(); },
      [this] { OnSilence(); }))
  , m_era(aDialect, aLog, [this](std::uint64_t aEra) { OnRestored(aEra); })
  , m_configuration(m_io,
                    aSettings,
                    aDialect,
                    aClock,
                    aLog,
                    m_era,
                    ObjectKind::Configuration,
                    m_hooks.m_configuration)
  , m_upstreams(m_io,
                aSettings,
                aDialect,
                aClock,
                aLog,
                m_era,
                ObjectKind::Upstreams,
                m_hooks.m_upstreams)
  , m_evacuations(m_io,
                  aSettings,
                  aDialect,
                  aClock,
                  aLog,
                  m_era,
                  ObjectKind::Evacuations,
                  m_hooks.m_evacuations)
  , m_snapshotServer(
      m_io,
      [this](const InfoRequest& aRequest) { return OnSnapshotRequest(aRequest); },
      InfoServer::MaxConnections(aSettings.m_maxDescriptors))
  , m_fetch(std::make_shared<HttpFetch>(m_io, aSettings.m_storeAddress))
  , m_timer(m_io)
  , m_random(std::random_device{}())
{
}

void StoreSync::Start()
{
  m_configuration.Start();
  m_upstreams.Start();
  m_evacuations.Start();
  Register();
}

void StoreSync::SetPeers(std::vector<std::string> aAddresses)
{
  boost::asio::dispatch(m_io, [this, addresses = std::move(aAddresses)] {
    for (KindWatcher* watcher : { &m_configuration, &m_upstreams, &m_evacuations }) {
      watcher->SetPeers(addresses);
    }
  });
}

void StoreSync::OnPeerRevisions(const StoreRevisions& aRevisions, std::string aPeer)
{
  boost::asio::dispatch(m_io, [this, aRevisions, peer = std::move(aPeer)] {
    m_configuration.OnPeerRevision(aRevisions.m_configuration, peer);
    m_upstreams.OnPeerRevision(aRevisions.m_upstreams, peer);
    m_evacuations.OnPeerRevision(aRevisions.m_evacuations, peer);
  });
}

bool StoreSync::HasSeen(const StoreRevisions& aRevisions) const
{
  return m_configuration.HasSeen(aRevisions.m_configuration) &&
         m_upstreams.HasSeen(aRevisions.m_upstreams) &&
         m_evacuations.HasSeen(aRevisions.m_evacuations);
}

void StoreSync::SetRole(policy::StoreRole aRole, bool aHasDependents)
{
  boost::asio::dispatch(m_io, [this, aRole, aHasDependents] {
    for (KindWatcher* watcher : { &m_configuration, &m_upstreams, &m_evacuations }) {
      watcher->SetRole(aRole, aHasDependents);
    }
  });
}

void StoreSync::SetLead(bool aIsLead)
{
  for (KindWatcher* watcher : { &m_configuration, &m_upstreams, &m_evacuations }) {
    watcher->SetLead(aIsLead);
  }
}

void StoreSync::OnStoreReachable()
{
  for (KindWatcher* watcher : { &m_configuration, &m_upstreams, &m_evacuations }) {
    watcher->RestartWatch(); // The response to one from before the end of the outage may be lost.
  }
  m_hooks.m_onSilence();
}

void StoreSync::OnRestored(std::uint64_t aEra)
{
  m_hooks.m_onRestored(aEra);
  for (KindWatcher* watcher : { &m_configuration, &m_upstreams, &m_evacuations }) {
    watcher->OnStoreRestored();
  }
  m_mayBeUnregistered = true;
  if (m_isRegistered) {
    ScheduleMemberList(RegistrationCheckDelay());
  }
}

milliseconds StoreSync::RegistrationCheckDelay()
{
  return milliseconds{ std::uniform_int_distribution<milliseconds::rep>(
    kMinRegistrationCheckDelay.count(), kMaxRegistrationCheckDelay.count())(m_random) };
}

milliseconds StoreSync::ResponseDelay() const
{
  return std::max({ m_configuration.ResponseDelay(),
                    m_upstreams.ResponseDelay(),
                    m_evacuations.ResponseDelay() });
}

bool StoreSync::IsAnswered() const
{
  return m_probe.IsReachable() && !m_configuration.IsInDoubt() && !m_upstreams.IsInDoubt() &&
         !m_evacuations.IsInDoubt();
}

void StoreSync::OnSilence()
{
  RenewWatches();
  m_hooks.m_onSilence();
}

void StoreSync::RenewWatches()
{
  for (KindWatcher* watcher : { &m_configuration, &m_upstreams, &m_evacuations }) {
    if (!watcher->IsConnectionNew()) {
      watcher->RenewWatch();
    }
  }
}

void StoreSync::ReportFollowing()
{
  const bool isFollowing =
    m_configuration.IsFollowing() && m_upstreams.IsFollowing() && m_evacuations.IsFollowing();
  if (isFollowing != m_isFollowing) {
    m_isFollowing = isFollowing;
    m_hooks.m_onFollowing(isFollowing);
  }
}

InfoResponse StoreSync::OnSnapshotRequest(const InfoRequest& aRequest)
{
  const std::string_view target = aRequest.m_target;
  const std::size_t end = target.find(kAfterQuery);
  if (!target.starts_with(kSnapshotPathPrefix) || end == target.npos) {
    return { 404, "text/plain", "no such snapshot\n" };
  }
  const std::string_view kind =
    target.substr(kSnapshotPathPrefix.size(), end - kSnapshotPathPrefix.size());
  const std::uint64_t number = NumberAfter(target, kAfterQuery).value_or(0);
  const std::uint64_t era =
    NumberAfter(target, kEraQuery).value_or(policy::StoreRevision::kImpliedEra);
  const std::pair<ObjectKind, KindWatcher*> watchers[] = {
    { ObjectKind::Configuration, &m_configuration },
    { ObjectKind::Upstreams, &m_upstreams },
    { ObjectKind::Evacuations, &m_evacuations },
  };
  for (const auto& [watched, watcher] : watchers) {
    if (kind != KindName(watched)) {
      continue;
    }
    const bool acceptsGzip = AcceptsGzip(aRequest.m_acceptEncoding);
    if (auto response = watcher->SnapshotAfter({ number, era }, acceptsGzip)) {
      return std::move(*response);
    }
  }
  return { 404, "text/plain", "nothing newer\n" };
}

void StoreSync::Register()
{
  FetchRequest request{ "POST",
                        m_dialect.CreateTarget(ObjectKind::Members),
                        m_dialect.CreateBody(m_settings.m_name, m_member),
                        kListTimeout };
  m_fetch->Start(std::move(request), [this](const FetchResponse& aResponse) {
    const std::uint64_t era = m_era.Observe(aResponse);
    m_isRegistered = aResponse.m_status == 409 || (aResponse.m_status / 100 == 2);
    if (m_isRegistered) {
      m_mayBeUnregistered = era < m_era.Current();
      ListMembers(kInitialMemberListDelay);
      return;
    }
    m_timer.expires_after(kMaxBackoff);
    m_timer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        Register();
      }
    });
  });
}

void StoreSync::ListMembers(milliseconds aDelay)
{
  m_fetch->Start({ "GET",
                   m_dialect.ListTarget(ObjectKind::Members, {}, Freshness::MayBeStale),
                   {},
                   kListTimeout },
                 [this, aDelay](const FetchResponse& aResponse) { OnMembers(aResponse, aDelay); });
}

void StoreSync::OnMembers(const FetchResponse& aResponse, milliseconds aDelay)
{
  const std::uint64_t era = m_era.Observe(aResponse);
  auto batch = aResponse.m_status == 200
                 ? m_dialect.ParseList(aResponse.m_body)
                 : base::Result<ObjectBatch>(std::make_error_code(std::errc::io_error));
  if (!batch) {
    ScheduleMemberList(aResponse.m_status == 200 ? aDelay : kMaxBackoff);
    return;
  }
  const bool isListed = std::ranges::any_of(batch->m_objects, [this](const StoredObject& aObject) {
    return aObject.m_name == m_settings.m_name && !aObject.m_deleted;
  });
  m_hooks.m_onMembers(std::move(batch->m_objects));
  if (!m_mayBeUnregistered) {
    ScheduleMemberList(aDelay);
  } else if (era < m_era.Current()) {
    ScheduleMemberList(RegistrationCheckDelay()); // The list is from before the return.
  } else if (isListed) {
    m_mayBeUnregistered = false;
    ScheduleMemberList(aDelay);
  } else {
    m_log.Write(base::LogRecord("registration_lost").Add("era", era));
    Register();
  }
}

void StoreSync::ScheduleMemberList(milliseconds aDelay)
{
  m_timer.expires_after(aDelay);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      ListMembers(kMemberListInterval);
    }
  });
}

} // namespace jaylane::gateway
