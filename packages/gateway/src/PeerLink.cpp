#include "PeerLink.h"

#include "Listen.h"
#include "LoadObservationCodec.h"
#include "SocketOptions.h"
#include "jaylane/base/ContainErrors.h"
#include "jaylane/base/JsonText.h"
#include "jaylane/gateway/GatewayError.h"
#include "jaylane/policy/ZoneContact.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <iterator>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace jaylane::gateway {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::milliseconds;

/// Time between announcements, and shortest time without any after which a VM is left out of
/// lookups. Three announcements in a row may be lost.
constexpr milliseconds kAnnounceInterval{ 400 };
constexpr milliseconds kPeerTimeout{ 1800 };
/// Shortest time between two announcements to the VMs whose turn it is.
constexpr milliseconds kMinAnnounceInterval{ 100 };
/// VMs that an announcement is sent to: in the own zone, in the rest of the region and in other
/// regions. With 205 bytes an announcement this is below 7 kB/s.
constexpr std::size_t kMaxZonePeers = 8;
constexpr std::size_t kMaxRegionPeers = 2;
constexpr std::size_t kMaxOtherRegionPeers = 2;
/// In a zone of more VMs, each hears every other once per several intervals. It counts as running
/// until this many of its turns are missed.
constexpr double kMaxMissedTurns = 3.2;
/// Time since its last announcement, or since it was read from the store, for which a VM of another
/// zone counts as one to announce to. It announces here only now and then.
constexpr milliseconds kOtherZoneMemory{ 60'000 };
/// VMs of the own zone, and VMs of other zones, that RunningPeers() returns.
constexpr std::size_t kMaxSnapshotPeersPerGroup = 4;
/// Number of announcements after the start that are also sent to the seeds, so that VMs find each
/// other while the store is unreachable.
constexpr std::uint32_t kSeedAnnouncements = 20;
constexpr double kMillicores = 1000;
/// Bound on numbers in announcements of peers.
constexpr double kMaxAnnouncedNumber = 1e9;
/// Announced instead of a limit for an upstream that no longer has one.
constexpr double kNoLimit = -1;
/// Limits of upstreams in one announcement, and in one to a VM that is starting.
constexpr std::size_t kMaxLimitsPerMessage = 4;
constexpr std::size_t kMaxLimitsForStartingVm = 64;
/// Bytes of all announcements of this VM together, up to which they carry loads of upstreams. VMs
/// may have links of 10 Mbit/s that callers and upstreams share.
constexpr double kMaxAnnouncedBytesPerSecond = 6900;
/// Loads go to as many VMs as get at least this much, about eight loads.
constexpr std::size_t kMinLoadBytesPerMessage = 118;
/// The name of the field in JSON.
constexpr std::size_t kLoadFieldBytes = std::string_view{ "\"loads\":\"\"," }.size();
constexpr std::size_t kMaxLoadsPerMessage = 25;

/// Last field of an announced strike. VMs of older versions read the first two bits.
constexpr unsigned kCorrelatedBit = 1;
constexpr unsigned kCompletedBit = 2;
constexpr unsigned kRepeatBit = 4;
constexpr unsigned kCompletionsShift = 3;

std::string ToHex(std::uint64_t aValue)
{
  return fmt::format("{:x}", aValue);
}

std::uint64_t FromHex(const Json::Value& aValue)
{
  std::uint64_t value = 0;
  if (aValue.isString()) {
    const std::string text = aValue.asString();
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
  }
  return value;
}

Json::Value ToJson(const policy::Strike& aStrike)
{
  Json::Value json(Json::arrayValue);
  json.append(ToHex(aStrike.m_fingerprint.m_high));
  json.append(ToHex(aStrike.m_fingerprint.m_low));
  json.append(ToHex(aStrike.m_id));
  json.append(ToHex(aStrike.m_upstream));
  json.append(Json::Int64{ aStrike.m_remaining.count() });
  json.append(static_cast<int>(
    (aStrike.m_correlated ? kCorrelatedBit : 0) | (aStrike.m_completions > 0 ? kCompletedBit : 0) |
    (aStrike.m_isRepeat ? kRepeatBit : 0) | aStrike.m_completions << kCompletionsShift));
  return json;
}

/// @return age in milliseconds.
Json::Value AgeOf(base::MonotonicTime aTime, base::MonotonicTime aNow)
{
  return Json::UInt(
    std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(aNow - aTime).count()));
}

/// @param aHadCompleted ids of the strikes whose requests had completed before. A field of its own,
///   because VMs of older versions ignore strikes with fields that they do not know.
std::vector<policy::Strike> StrikesFrom(const Json::Value& aJson, const Json::Value& aHadCompleted)
{
  std::vector<policy::Strike> strikes;
  if (!aJson.isArray()) {
    return strikes;
  }
  std::set<std::string> completed;
  if (aHadCompleted.isArray()) {
    for (const Json::Value& id : aHadCompleted) {
      completed.insert(id.isString() ? id.asString() : std::string{});
    }
  }
  for (const Json::Value& entry : aJson) {
    if (!entry.isArray() || entry.size() != 6 || !entry[4].isInt64() || !entry[5].isInt()) {
      continue;
    }
    policy::Strike strike;
    strike.m_fingerprint = { FromHex(entry[0]), FromHex(entry[1]) };
    strike.m_id = FromHex(entry[2]);
    strike.m_upstream = FromHex(entry[3]);
    strike.m_remaining = milliseconds{ entry[4].asInt64() };
    const auto flags = static_cast<unsigned>(entry[5].asInt());
    strike.m_correlated = (flags & kCorrelatedBit) != 0;
    strike.m_isRepeat = (flags & kRepeatBit) != 0;
    strike.m_completions =
      std::max(flags >> kCompletionsShift, (flags & kCompletedBit) != 0 ? 1U : 0U);
    strike.m_hadCompleted = completed.contains(ToHex(strike.m_id));
    strikes.push_back(strike);
  }
  return strikes;
}

/// Adds the revisions, and their eras as "era" if it is the same for all kinds.
void AddRevisions(Json::Value& aParams, const StoreRevisions& aRevisions)
{
  const std::array revisions{ aRevisions.m_configuration,
                              aRevisions.m_upstreams,
                              aRevisions.m_evacuations };
  std::set<std::uint64_t> eras;
  for (const policy::StoreRevision revision : revisions) {
    aParams["revisions"].append(Json::UInt64{ revision.Number() });
    if (revision.Number() > 0) {
      eras.insert(revision.Era());
    }
  }
  if (eras.size() == 1 && *eras.begin() != policy::StoreRevision::kImpliedEra) {
    aParams["era"] = Json::UInt64{ *eras.begin() };
  } else if (eras.size() > 1) {
    for (const policy::StoreRevision revision : revisions) {
      aParams["eras"].append(Json::UInt64{ revision.Era() });
    }
  }
}

bool IsArrayOfThreeNumbers(const Json::Value& aJson)
{
  return aJson.isArray() && aJson.size() == 3 && aJson[0].isUInt64() && aJson[1].isUInt64() &&
         aJson[2].isUInt64();
}

/// @return nothing if the message has no revisions.
std::optional<StoreRevisions> RevisionsFrom(const Json::Value& aParams)
{
  const Json::Value& numbers = aParams["revisions"];
  if (!IsArrayOfThreeNumbers(numbers)) {
    return std::nullopt;
  }
  const Json::Value& eras = aParams["eras"];
  const Json::Value& era = aParams["era"];
  const bool hasEras = IsArrayOfThreeNumbers(eras);
  const std::uint64_t sameEra =
    era.isUInt64() ? era.asUInt64() : policy::StoreRevision::kImpliedEra;
  const auto revision = [&](Json::ArrayIndex aIndex) {
    return policy::StoreRevision{ numbers[aIndex].asUInt64(),
                                  hasEras ? eras[aIndex].asUInt64() : sameEra };
  };
  return StoreRevisions{ revision(0), revision(1), revision(2) };
}

std::optional<udp::endpoint> UdpEndpoint(std::string_view aText)
{
  const auto endpoint = ParseEndpoint(aText);
  if (!endpoint) {
    return std::nullopt;
  }
  return udp::endpoint{ endpoint->address(), endpoint->port() };
}

std::string ToText(const udp::endpoint& aEndpoint)
{
  return fmt::format("{}:{}", aEndpoint.address().to_string(), aEndpoint.port());
}

policy::LookupScope::Options LookupOptions(const GatewaySettings& aSettings)
{
  policy::LookupScope::Options options{ aSettings.m_region, {} };
  for (const auto& [zone, region] : aSettings.m_zones) {
    options.m_regions.insert(region);
  }
  return options;
}

std::string TextOf(const Json::Value& aObject, const char* aKey)
{
  const Json::Value& value = aObject[aKey];
  return value.isString() ? value.asString() : std::string{};
}

double NumberOf(const Json::Value& aObject, const char* aKey)
{
  const Json::Value& value = aObject[aKey];
  return value.isNumeric() ? std::clamp(value.asDouble(), 0.0, kMaxAnnouncedNumber) : 0.0;
}

} // namespace

PeerLink::PeerLink(asio::io_context& aIo,
                   const GatewaySettings& aSettings,
                   const base::Clock& aClock,
                   base::AsyncLog& aLog,
                   Hooks aHooks)
  : m_settings(aSettings)
  , m_clock(aClock)
  , m_log(aLog)
  , m_hooks(std::move(aHooks))
  , m_socket(aIo)
  , m_timer(aIo)
  , m_random(std::random_device{}())
  , m_nextZonePeer(m_random())
  , m_lookupScope(LookupOptions(aSettings))
  , m_lookupLog(aClock, aLog)
{
}

Json::Value PeerLink::Describe(const GatewaySettings& aSettings)
{
  Json::Value description(Json::objectValue);
  description["name"] = aSettings.m_name;
  description["zone"] = aSettings.m_zone;
  description["region"] = aSettings.m_region;
  description["caller_address"] = aSettings.m_callerAddress;
  description["peer_address"] = aSettings.m_peerAddress;
  description["millicores"] = Json::UInt(std::lround(aSettings.m_cores * kMillicores));
  return description;
}

base::Status PeerLink::Start()
{
  const auto own = UdpEndpoint(m_settings.m_peerAddress);
  if (!own) {
    return base::Error{ make_error_code(GatewayErrc::ListenFailed),
                        "\"" + m_settings.m_peerAddress + "\" is not an address and port" };
  }
  boost::system::error_code error;
  m_socket.open(own->protocol(), error);
  if (!error) {
    m_socket.bind(*own, error);
  }
  if (error) {
    boost::system::error_code ignored;
    m_socket.close(ignored);
    return ListenError(error, "bind", m_settings.m_peerAddress);
  }
  m_socket.non_blocking(true, error);
  for (const std::string& seed : m_settings.m_seeds) {
    // Seeds are given with another port of the VM; the peer port is the same on all VMs.
    if (const auto endpoint = UdpEndpoint(seed);
        endpoint && endpoint->address() != own->address()) {
      m_seeds.emplace_back(endpoint->address(), own->port());
    }
  }
  m_startedAt = m_clock.Monotonic();
  Receive();
  SendAnnouncements();
  return base::Success{};
}

void PeerLink::AddMembers(const std::vector<Json::Value>& aMembers)
{
  for (const Json::Value& member : aMembers) {
    if (!member.isObject()) {
      continue;
    }
    if (const auto endpoint = UdpEndpoint(TextOf(member, "peer_address"))) {
      UpdatePeer(member, *endpoint, false);
    }
  }
}

void PeerLink::UpdatePeer(const Json::Value& aDescription,
                          const udp::endpoint& aEndpoint,
                          bool aIsAnnouncement)
{
  const std::string name = TextOf(aDescription, "name");
  if (name.empty() || name == m_settings.m_name) {
    return;
  }
  const auto [entry, isNew] = m_peers.try_emplace(name);
  Peer& peer = entry->second;
  if (!isNew && !aIsAnnouncement) {
    return;
  }
  const bool wasRunning = !isNew && IsRunning(peer);
  if (isNew) {
    peer.m_lastHeard = m_clock.Monotonic();
  }
  peer.m_name = name;
  peer.m_zone = TextOf(aDescription, "zone");
  peer.m_region = TextOf(aDescription, "region");
  peer.m_callerAddress = TextOf(aDescription, "caller_address");
  peer.m_endpoint = aEndpoint;
  peer.m_cores = NumberOf(aDescription, "millicores") / kMillicores;
  if (aIsAnnouncement) {
    peer.m_lastHeard = m_clock.Monotonic();
    peer.m_hasBeenHeard = true;
    peer.m_leaving = aDescription["leaving"].isBool() && aDescription["leaving"].asBool();
    peer.m_isReady = !aDescription["ready"].isBool() || aDescription["ready"].asBool();
    peer.m_requestsPerSecond = NumberOf(aDescription, "requests_per_second");
  }
  // VMs of other regions send announcements here only now and then, so their state would flap in
  // the log.
  if (wasRunning != IsRunning(peer) && peer.m_region == m_settings.m_region) {
    m_log.Write(base::LogRecord("peer")
                  .Add("peer", name)
                  .Add("state", IsRunning(peer) ? "running" : "leaving"));
  }
  if (isNew) {
    m_hooks.m_onNewPeer();
  }
}

void PeerLink::Receive()
{
  m_socket.async_receive_from(asio::buffer(m_receiveBuffer),
                              m_sender,
                              [this](const boost::system::error_code& aError, std::size_t aBytes) {
                                if (aError == asio::error::operation_aborted) {
                                  return;
                                }
                                if (!aError) {
                                  base::ContainErrors(
                                    m_log, "datagram", [this, aBytes] { OnDatagram(aBytes); });
                                }
                                Receive();
                              });
}

void PeerLink::OnDatagram(std::size_t aBytes)
{
  const auto message = base::ParseJson({ m_receiveBuffer.data(), aBytes });
  if (!message || !message->isObject()) {
    return;
  }
  if (const std::string method = TextOf(*message, "method"); method != "announce") {
    if (m_hooks.m_onMessage) {
      m_hooks.m_onMessage(
        method, (*message)["params"], [this, sender = m_sender](const std::string& aText) {
          SendTo(aText, sender);
        });
    }
    return;
  }
  if (!(*message)["params"].isObject()) {
    return;
  }
  const Json::Value& params = (*message)["params"];
  UpdatePeer(params, m_sender, true);
  m_hooks.m_onStrikes(StrikesFrom(params["strikes"], params["strikes_after_completion"]));
  ReadLimits(params);
  ReadLoads(params);
  ReadLeadHeartbeat(params);
  if (m_isReady && params["ready"].isBool() && !params["ready"].asBool() &&
      !params["leaving"].isBool() && !(m_hooks.m_limits().empty() && m_hooks.m_strikes().empty())) {
    // A VM that is starting must know the limits, and the requests that crash upstreams, before its
    // first request. Only VMs that are ready answer, so that those that start together do not
    // answer each other without end.
    SendTo(BuildAnnouncement(kMaxLimitsForStartingVm), m_sender);
  }
  if (params["store_unreachable"].isBool() && params["store_unreachable"].asBool()) {
    m_hooks.m_onStoreUnreachable();
  }
  const auto revisions = RevisionsFrom(params);
  if (!revisions) {
    return;
  }
  m_hooks.m_onRevisions(*revisions, ToText(m_sender));
  if (params["following"].isBool() && params["following"].asBool() &&
      TextOf(params, "region") == m_settings.m_region) {
    m_hooks.m_onFollower(*revisions);
  }
}

std::string PeerLink::BuildAnnouncement(std::size_t aMaxLimits)
{
  return base::WriteJson(MakeAnnouncement(aMaxLimits));
}

Json::Value PeerLink::MakeAnnouncement(std::size_t aMaxLimits)
{
  Json::Value message(Json::objectValue);
  message["jsonrpc"] = "2.0";
  message["method"] = "announce";
  // Whatever has its usual value is left out, because announcements are a VM's steady traffic.
  Json::Value params = Describe(m_settings);
  params.removeMember("peer_address"); // The sender's address is the same.
  AddRevisions(params, m_revisions);
  params["requests_per_second"] = Json::UInt(std::lround(m_requestsPerSecond));
  if (m_leaving) {
    params["leaving"] = true;
  }
  if (!m_isReady) {
    params["ready"] = false;
  }
  if (m_isFollowing) {
    params["following"] = true;
  }
  if (m_isStoreUnreachable) {
    params["store_unreachable"] = true;
  }
  if (const auto lead = m_hooks.m_leadHeartbeat()) {
    params["lead"].append(lead->m_rank);
    params["lead"].append(lead->m_beat);
    params["lead"].append(lead->m_silences);
  }
  if (m_resignedRank) {
    params["lead_resigned"] = *m_resignedRank;
  }
  for (const policy::Strike& strike : m_hooks.m_strikes()) {
    if (params["strikes"].size() == kMaxStrikesPerMessage) {
      break;
    }
    params["strikes"].append(ToJson(strike));
    if (strike.m_hadCompleted) {
      params["strikes_after_completion"].append(ToHex(strike.m_id));
    }
  }
  AddLimits(params, aMaxLimits);
  message["params"] = params;
  return message;
}

void PeerLink::AddLimits(Json::Value& aParams, std::size_t aMaxLimits)
{
  const base::MonotonicTime now = m_clock.Monotonic();
  const std::vector<policy::LimitObservation> limits = m_hooks.m_limits();
  if (limits.empty()) {
    return;
  }
  const std::size_t count = std::min(limits.size(), aMaxLimits);
  for (std::size_t i = 0; i < count; ++i) {
    const policy::LimitObservation& limit = limits[m_nextLimit++ % limits.size()];
    Json::Value entry(Json::arrayValue);
    entry.append(limit.m_upstream);
    entry.append(limit.m_perSecond.value_or(kNoLimit));
    entry.append(AgeOf(limit.m_seenAt, now));
    aParams["limits"].append(std::move(entry));
  }
  if (const auto demand = m_hooks.m_zoneDemand()) {
    Json::Value& entry = aParams["zone_demand"];
    entry.append(demand->m_zone);
    entry.append(Json::UInt(std::lround(demand->m_requestsPerSecond)));
    entry.append(AgeOf(demand->m_seenAt, now));
  }
}

void PeerLink::ReadLeadHeartbeat(const Json::Value& aParams)
{
  const Json::Value& entry = aParams["lead"];
  if (entry.isArray() && entry.size() == 3 && entry[0].isUInt() && entry[1].isUInt() &&
      entry[2].isUInt()) {
    m_hooks.m_onLeadHeartbeat({ entry[0].asUInt(), entry[1].asUInt(), entry[2].asUInt() });
  }
  if (const Json::Value& rank = aParams["lead_resigned"]; rank.isUInt()) {
    m_hooks.m_onLeadResigned(rank.asUInt());
  }
}

void PeerLink::ReadLimits(const Json::Value& aParams)
{
  const base::MonotonicTime now = m_clock.Monotonic();
  const auto isEntry = [](const Json::Value& aEntry) {
    return aEntry.isArray() && aEntry.size() == 3 && aEntry[0].isString() &&
           aEntry[1].isNumeric() && aEntry[2].isUInt();
  };
  if (const Json::Value& entry = aParams["zone_demand"]; isEntry(entry)) {
    m_hooks.m_onZoneDemand({ entry[0].asString(),
                             std::clamp(entry[1].asDouble(), 0.0, kMaxAnnouncedNumber),
                             now - milliseconds{ entry[2].asUInt() } });
  }
  if (!aParams["limits"].isArray()) {
    return;
  }
  std::vector<policy::LimitObservation> limits;
  for (const Json::Value& entry : aParams["limits"]) {
    if (isEntry(entry)) {
      const double perSecond = entry[1].asDouble();
      limits.push_back({ entry[0].asString(),
                         perSecond < 0 ? std::nullopt : std::optional<double>{ perSecond },
                         now - milliseconds{ entry[2].asUInt() } });
    }
  }
  m_hooks.m_onLimits(limits);
}

void PeerLink::ReadLoads(const Json::Value& aParams)
{
  const Json::Value& text = aParams["loads"];
  if (text.isNull()) {
    return;
  }
  m_hooks.m_onLoads(text.isString() ? DecodeObservations(text.asString(), m_clock.Monotonic())
                                    : std::nullopt);
}

void PeerLink::SendTo(const std::string& aMessage, const udp::endpoint& aEndpoint)
{
  boost::system::error_code ignored; // Datagrams may be lost anyway; the next one replaces it.
  m_socket.send_to(asio::buffer(aMessage), aEndpoint, 0, ignored);
}

void PeerLink::SendWithLoads(Json::Value aAnnouncement, std::vector<const Peer*> aRecipients)
{
  const std::string message = base::WriteJson(aAnnouncement);
  const auto elapsed =
    std::min<std::chrono::nanoseconds>(m_clock.Monotonic() - m_announcedAt, kAnnounceInterval);
  const auto allowed = static_cast<std::size_t>(kMaxAnnouncedBytesPerSecond *
                                                std::chrono::duration<double>(elapsed).count());
  const std::size_t needed = message.size() * aRecipients.size();
  const std::size_t available = allowed > needed ? allowed - needed : 0;
  const std::size_t count =
    std::min(aRecipients.size(), std::max<std::size_t>(1, available / kMinLoadBytesPerMessage));
  const std::size_t bytes = count == 0 ? 0 : available / count;
  const std::size_t loads =
    std::min(bytes > kLoadFieldBytes ? ObservationsThatFit(bytes - kLoadFieldBytes) : 0,
             kMaxLoadsPerMessage);
  std::ranges::shuffle(aRecipients, m_random);
  for (std::size_t i = 0; i < aRecipients.size(); ++i) {
    std::vector<policy::LoadObservation> next;
    if (i < count && loads > 0) {
      next = m_hooks.m_loads(loads);
    }
    if (next.empty()) {
      SendTo(message, aRecipients[i]->m_endpoint);
      continue;
    }
    aAnnouncement["params"]["loads"] = EncodeObservations(next, m_clock.Monotonic());
    SendTo(base::WriteJson(aAnnouncement), aRecipients[i]->m_endpoint);
    m_hooks.m_onLoadsTold(next.size());
  }
}

void PeerLink::SendAnnouncements()
{
  const Json::Value announcement = MakeAnnouncement(kMaxLimitsPerMessage);
  const std::vector<const Peer*> zone = NextZonePeers();
  std::vector<const Peer*> region;
  std::vector<const Peer*> others;
  for (const auto& [name, peer] : m_peers) {
    if (peer.m_zone != m_settings.m_zone) {
      (peer.m_region == m_settings.m_region ? region : others).push_back(&peer);
    }
  }
  std::ranges::shuffle(region, m_random);
  std::ranges::shuffle(others, m_random);
  region.resize(std::min(region.size(), kMaxRegionPeers));
  others.resize(std::min(others.size(), kMaxOtherRegionPeers));
  std::vector<const Peer*> recipients = zone;
  recipients.insert(recipients.end(), region.begin(), region.end());
  recipients.insert(recipients.end(), others.begin(), others.end());
  SendWithLoads(announcement, std::move(recipients));
  if (m_announcements++ < kSeedAnnouncements) {
    const std::string message = base::WriteJson(announcement);
    for (const udp::endpoint& seed : m_seeds) {
      SendTo(message, seed);
    }
  }
  m_announcedAt = m_clock.Monotonic();
  ScheduleAnnouncements(kAnnounceInterval);
}

void PeerLink::ScheduleAnnouncements(milliseconds aDelay)
{
  m_timer.expires_after(aDelay);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !base::ContainErrors(m_log, "announcements", [this] { SendAnnouncements(); })) {
      ScheduleAnnouncements(kAnnounceInterval);
    }
  });
}

void PeerLink::AnnounceSoon()
{
  const auto due =
    std::chrono::ceil<milliseconds>(m_announcedAt + kMinAnnounceInterval - m_clock.Monotonic());
  ScheduleAnnouncements(std::clamp(due, milliseconds{ 0 }, kMinAnnounceInterval));
}

void PeerLink::SetStoreUnreachable(bool aIsUnreachable)
{
  if (aIsUnreachable && !m_isStoreUnreachable) {
    AnnounceSoon();
  }
  m_isStoreUnreachable = aIsUnreachable;
}

void PeerLink::AnnounceToZone()
{
  const std::string message = BuildAnnouncement(kMaxLimitsPerMessage);
  for (const Peer* peer : ZonePeers()) {
    SendTo(message, peer->m_endpoint);
  }
}

void PeerLink::AnnounceToOtherZones()
{
  std::map<std::string, std::vector<policy::StoreFollowing::Vm>> heard;
  std::map<std::string, std::vector<policy::StoreFollowing::Vm>> known;
  for (const auto& [name, peer] : m_peers) {
    const bool isSilent = m_clock.Monotonic() - peer.m_lastHeard >= kOtherZoneMemory;
    if (peer.m_zone == m_settings.m_zone || peer.m_leaving || isSilent) {
      continue;
    }
    known[peer.m_zone].push_back({ name, peer.m_cores });
    if (peer.m_hasBeenHeard) {
      heard[peer.m_zone].push_back({ name, peer.m_cores });
    }
  }
  std::set<std::string> recipients;
  for (auto* zones : { &heard, &known }) {
    for (auto& [zone, vms] : *zones) {
      for (std::string& name : m_hooks.m_electedAmong(std::move(vms))) {
        recipients.insert(std::move(name));
      }
    }
  }
  const std::string message = BuildAnnouncement(kMaxLimitsPerMessage);
  for (const std::string& name : recipients) {
    SendTo(message, m_peers.at(name).m_endpoint);
  }
}

void PeerLink::AnnounceLeadResigned(std::uint32_t aRank)
{
  m_resignedRank = aRank;
  AnnounceToZone();
  AnnounceToOtherZones();
  m_resignedRank.reset();
}

void PeerLink::AnnounceLeaving()
{
  m_leaving = true;
  AnnounceToZone();
  SendAnnouncements();
}

std::vector<const PeerLink::Peer*> PeerLink::ZonePeers() const
{
  std::vector<const Peer*> peers;
  for (const auto& [name, peer] : m_peers) {
    if (peer.m_zone == m_settings.m_zone) {
      peers.push_back(&peer);
    }
  }
  return peers;
}

std::vector<const PeerLink::Peer*> PeerLink::NextZonePeers()
{
  const std::vector<const Peer*> peers = ZonePeers();
  m_zonePeerCount = peers.size();
  std::vector<const Peer*> next;
  for (std::size_t i = 0; i < std::min(peers.size(), kMaxZonePeers); ++i) {
    next.push_back(peers[(m_nextZonePeer + i) % peers.size()]);
  }
  m_nextZonePeer += next.size();
  return next;
}

milliseconds PeerLink::TimeoutOf(const Peer& aPeer) const
{
  if (aPeer.m_zone != m_settings.m_zone) {
    return kPeerTimeout;
  }
  // All VMs of the zone have the same number of peers and send to them in turn.
  const std::size_t rounds = (m_zonePeerCount + kMaxZonePeers - 1) / kMaxZonePeers;
  const milliseconds turn = kAnnounceInterval * static_cast<int>(rounds);
  return std::max(
    kPeerTimeout,
    milliseconds{ static_cast<std::int64_t>(static_cast<double>(turn.count()) * kMaxMissedTurns) });
}

bool PeerLink::IsRunning(const Peer& aPeer) const
{
  return aPeer.m_hasBeenHeard && !aPeer.m_leaving &&
         m_clock.Monotonic() - aPeer.m_lastHeard < TimeoutOf(aPeer);
}

std::vector<policy::StoreFollowing::Vm> PeerLink::RunningZoneVms() const
{
  std::vector<policy::StoreFollowing::Vm> vms;
  for (const auto& [name, peer] : m_peers) {
    if (peer.m_zone == m_settings.m_zone && IsRunning(peer)) {
      vms.push_back({ name, peer.m_cores });
    }
  }
  return vms;
}

std::vector<policy::LookupScope::Vm> PeerLink::KnownVms() const
{
  const base::MonotonicTime now = m_clock.Monotonic();
  std::vector<policy::LookupScope::Vm> vms{ { m_settings.m_name,
                                              m_settings.m_zone,
                                              m_settings.m_region,
                                              m_isReady,
                                              m_leaving,
                                              std::chrono::nanoseconds{ 0 },
                                              kPeerTimeout } };
  for (const auto& [name, peer] : m_peers) {
    vms.push_back({ name,
                    peer.m_zone,
                    peer.m_region,
                    peer.m_isReady,
                    peer.m_leaving,
                    peer.m_hasBeenHeard ? std::optional{ now - peer.m_lastHeard } : std::nullopt,
                    TimeoutOf(peer) });
  }
  return vms;
}

PeerLink::Entry PeerLink::EntryOf(const std::string& aName) const
{
  if (aName == m_settings.m_name) {
    return { m_settings.m_callerAddress, m_settings.m_cores, m_requestsPerSecond };
  }
  const Peer& peer = m_peers.at(aName);
  return { peer.m_callerAddress, peer.m_cores, peer.m_requestsPerSecond };
}

std::vector<std::string> PeerLink::Selected(const std::vector<std::string>& aZoneVms)
{
  std::vector<policy::EntrySelection::Vm> candidates;
  for (const std::string& name : aZoneVms) {
    const Entry entry = EntryOf(name);
    candidates.push_back({ name, entry.m_cores, entry.m_requestsPerSecond });
  }
  return m_entrySelection.Select(std::move(candidates), m_clock.Monotonic());
}

std::vector<std::string> PeerLink::AddressesFor(const std::string& aZone,
                                                const std::string& aRegion)
{
  const std::vector<policy::LookupScope::Vm> vms = KnownVms();
  const policy::LookupScope::Place caller{ aZone, aRegion };
  policy::LookupScope::Decision decision =
    m_lookupScope.Decide(vms, caller, m_clock.Monotonic() - m_startedAt);
  m_lookupLog.OnDecision(vms, caller, decision);
  m_hooks.m_onLookup(decision.m_kind);
  if (decision.m_kind == policy::LookupScope::Kind::Zone && aZone == m_settings.m_zone) {
    decision.m_names = Selected(decision.m_names);
  }
  std::vector<std::string> addresses;
  std::ranges::transform(
    decision.m_names, std::back_inserter(addresses), [this](const std::string& aName) {
      return EntryOf(aName).m_callerAddress;
    });
  return addresses;
}

std::vector<std::string> PeerLink::RunningPeers()
{
  std::vector<const Peer*> own;
  std::vector<const Peer*> others;
  for (const auto& [name, peer] : m_peers) {
    if (IsRunning(peer)) {
      (peer.m_zone == m_settings.m_zone ? own : others).push_back(&peer);
    }
  }
  std::ranges::shuffle(own, m_random);
  std::ranges::shuffle(others, m_random);
  std::vector<policy::StoreFollowing::Vm> zoneVms = RunningZoneVms();
  zoneVms.push_back({ m_settings.m_name, m_settings.m_cores });
  const std::vector<std::string> elected = m_hooks.m_electedAmong(std::move(zoneVms));
  std::stable_partition(own.begin(), own.end(), [&](const Peer* aPeer) {
    return std::ranges::find(elected, aPeer->m_name) != elected.end();
  });
  std::vector<std::string> addresses;
  for (auto* group : { &own, &others }) {
    group->resize(std::min(group->size(), kMaxSnapshotPeersPerGroup));
    std::ranges::transform(*group, std::back_inserter(addresses), [](const Peer* aPeer) {
      return ToText(aPeer->m_endpoint);
    });
  }
  return addresses;
}

double PeerLink::ZoneRequestsPerSecond() const
{
  double rate = m_requestsPerSecond;
  for (const Peer* peer : ZonePeers()) {
    rate += IsRunning(*peer) ? peer->m_requestsPerSecond : 0;
  }
  return rate;
}

std::map<std::string, std::size_t> PeerLink::KnownZoneVms() const
{
  std::map<std::string, std::size_t> vms{ { m_settings.m_zone, 1 } };
  for (const auto& [name, peer] : m_peers) {
    ++vms[peer.m_zone];
  }
  return vms;
}

std::optional<base::MonotonicTime> PeerLink::MostZonesHeardAt() const
{
  std::map<std::string, std::optional<base::MonotonicTime>> heardAt;
  for (const auto& [name, peer] : m_peers) {
    auto& ofZone = heardAt[peer.m_zone];
    if (peer.m_hasBeenHeard) {
      ofZone = std::max(ofZone, std::optional{ peer.m_lastHeard });
    }
  }
  heardAt.try_emplace(m_settings.m_zone, m_clock.Monotonic());
  std::vector<std::optional<base::MonotonicTime>> times;
  std::ranges::transform(
    heardAt, std::back_inserter(times), [](const auto& aZone) { return aZone.second; });
  return policy::MostZonesHeardAt(std::move(times));
}

void PeerLink::SendToPeer(const std::string& aName, const std::string& aMessage)
{
  if (const auto peer = m_peers.find(aName); peer != m_peers.end()) {
    SendTo(aMessage, peer->second.m_endpoint);
  }
}

std::vector<policy::QuotaClient::Candidate> PeerLink::BrokerCandidates() const
{
  struct Ranked
  {
    long m_millicores;
    std::uint64_t m_hash;
    policy::QuotaClient::Candidate m_candidate;
  };
  std::vector<Ranked> ranked;
  const auto add = [&](const std::string& aName, double aCores, auto aLastHeard) {
    ranked.push_back({ std::lround(aCores * kMillicores),
                       XXH64(aName.data(), aName.size(), 0),
                       { aName, aLastHeard } });
  };
  if (!m_leaving) {
    add(m_settings.m_name, m_settings.m_cores, std::optional{ m_clock.Monotonic() });
  }
  for (const auto& [name, peer] : m_peers) {
    if (!peer.m_leaving) {
      add(
        name, peer.m_cores, peer.m_hasBeenHeard ? std::optional{ peer.m_lastHeard } : std::nullopt);
    }
  }
  std::ranges::sort(ranked, [](const Ranked& aLeft, const Ranked& aRight) {
    return std::tie(aRight.m_millicores, aLeft.m_hash) <
           std::tie(aLeft.m_millicores, aRight.m_hash);
  });
  std::vector<policy::QuotaClient::Candidate> candidates;
  std::ranges::transform(ranked, std::back_inserter(candidates), &Ranked::m_candidate);
  return candidates;
}

std::set<std::string> PeerLink::KnownVmNames() const
{
  std::set<std::string> names{ m_settings.m_name };
  for (const auto& [name, peer] : m_peers) {
    names.insert(name);
  }
  return names;
}

} // namespace jaylane::gateway
