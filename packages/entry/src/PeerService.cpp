#include "PeerService.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace jaylane::entry {

namespace {

constexpr std::chrono::milliseconds kRoundInterval{ 1000 };
constexpr std::chrono::milliseconds kCallTimeout{ 500 };
constexpr std::chrono::milliseconds kProbeTimeout{ 300 };
// Most members that are asked to probe a suspect that this VM cannot reach.
constexpr std::size_t kIndirectProbes = 2;
// Attempts of a handover. All go to the same peer, for which a repeat changes nothing.
constexpr unsigned kMaxHandoverCalls = 3;

base::SocketAddress ToAddress(const settings::HostPort& aAddress)
{
  const auto host = base::SocketAddress::ParseHost(aAddress.m_host);
  return { host ? *host : 0, aAddress.m_port };
}

base::SocketAddress PeerAddress(const peer::MemberInfo& aMember)
{
  const auto address = base::SocketAddress::Parse(aMember.m_peerAddress);
  return address ? *address : base::SocketAddress{};
}

std::optional<policy::Incarnation> ToIncarnation(const std::string& aText)
{
  const auto scope = policy::ExecutionScope::Parse(aText + "-0");
  return scope ? std::optional(scope->m_incarnation) : std::nullopt;
}

} // namespace

PeerService::PeerService(const VmContext& aContext, Dependencies aDependencies)
  : m_context(aContext)
  , m_deps(aDependencies)
  , m_client(aContext.m_settings.m_peerKey)
{
}

PeerService::~PeerService()
{
  StopExchanges();
}

peer::MemberInfo PeerService::Self() const
{
  peer::MemberInfo self;
  self.m_id = m_context.m_settings.m_id;
  self.m_incarnation = m_context.m_incarnationText;
  self.m_region = m_context.m_site.m_region;
  self.m_zone = m_context.m_site.m_zone;
  self.m_peerAddress = m_server->Address().ToString();
  return self;
}

base::Status PeerService::Start()
{
  peer::PeerHandlers hooks;
  hooks.m_exchange = [this](const peer::ExchangeMessage& aMessage) { return OnExchange(aMessage); };
  hooks.m_probe = [this](const peer::ProbeRequest& aRequest) { return OnProbe(aRequest); };
  hooks.m_borrow = [this](const peer::BorrowRequest& aRequest) {
    return m_deps.m_slotLeases.OnBorrow(aRequest);
  };
  hooks.m_handover = [this](const peer::HandoverRequest& aRequest) { return OnHandover(aRequest); };
  auto server = peer::PeerServer::Make(
    ToAddress(m_context.m_settings.m_peerAddress), m_context.m_settings.m_peerKey, hooks);
  if (!server) {
    return server.GetError();
  }
  m_server = std::move(*server);
  {
    std::lock_guard lock(m_mutex);
    m_membership.emplace(Self(), peer::MembershipOptions{});
  }
  m_thread = std::make_unique<base::PeriodicThread>(kRoundInterval, [this] { RunExchangeRound(); });
  return base::Success{};
}

void PeerService::StopExchanges()
{
  if (m_thread) {
    m_thread->Stop();
  }
}

void PeerService::OnDirectory(const DirectoryView& aView)
{
  std::vector<peer::MemberInfo> listed;
  for (const EntryVmRef& vm : aView.m_entryVms) {
    peer::MemberInfo member;
    member.m_id = vm.m_id;
    member.m_incarnation = vm.m_incarnation;
    member.m_region = vm.m_site.m_region;
    member.m_zone = vm.m_site.m_zone;
    member.m_peerAddress = vm.m_peerAddress.ToString();
    member.m_leaving = vm.m_leaving;
    listed.push_back(std::move(member));
  }
  {
    std::lock_guard lock(m_mutex);
    if (m_membership) {
      m_membership->SetListedMembers(listed, m_context.m_clock.Monotonic());
    }
  }
  UpdateVmStates();
}

peer::ExchangeMessage PeerService::MakeMessage(const std::string& aPeerZone,
                                               std::uint64_t aPeerGeneration,
                                               platform::Version aPeerShares)
{
  peer::ExchangeMessage message;
  message.m_stamp = m_context.m_hybridClock.Now().ToString();
  message.m_generation = m_deps.m_config.Generation();
  if (message.m_generation > aPeerGeneration) {
    message.m_settings = m_deps.m_config.CurrentText();
  }
  if (aPeerZone == m_context.m_site.m_zone) {
    message.m_shares = m_deps.m_shareTable.CurrentText();
    if (message.m_shares.m_version <= aPeerShares) {
      message.m_shares.m_text.clear();
    }
  }
  message.m_strikes = m_deps.m_quarantine.Strikes();
  std::lock_guard lock(m_mutex);
  message.m_members = m_membership->Digest([this] { return m_random(); });
  for (peer::MemberInfo& member : message.m_members) {
    if (member.m_zone != aPeerZone) {
      member.m_load.clear();
    }
  }
  return message;
}

void PeerService::Receive(const peer::ExchangeMessage& aMessage)
{
  const auto stamp = base::HybridStamp::Parse(aMessage.m_stamp);
  if (stamp) {
    m_context.m_hybridClock.Observe(*stamp);
  }
  if (!aMessage.m_settings.empty()) {
    m_deps.m_config.Apply(aMessage.m_settings);
  }
  const bool sameZone =
    !aMessage.m_members.empty() && aMessage.m_members.front().m_zone == m_context.m_site.m_zone;
  if (sameZone && !aMessage.m_shares.m_text.empty()) {
    m_deps.m_shareTable.Receive(aMessage.m_shares.m_text, aMessage.m_shares.m_version);
  }
  m_deps.m_quarantine.Merge(aMessage.m_strikes);
  // A VM knows only the address that it is bound to; the list has the one to connect to.
  const auto view = m_deps.m_directory.Current();
  auto members = aMessage.m_members;
  for (peer::MemberInfo& member : members) {
    const EntryVmRef* listed = view->FindIncarnation(member.m_incarnation);
    if (listed) {
      member.m_peerAddress = listed->m_peerAddress.ToString();
    }
  }
  std::lock_guard lock(m_mutex);
  m_membership->Merge(members, m_context.m_clock.Monotonic());
}

peer::ExchangeMessage PeerService::OnExchange(const peer::ExchangeMessage& aMessage)
{
  Receive(aMessage);
  const std::string zone = aMessage.m_members.empty() ? "" : aMessage.m_members.front().m_zone;
  if (aMessage.m_generation > m_deps.m_config.Generation() && !aMessage.m_members.empty()) {
    // The sender has newer settings but does not know that this VM lacks them, so the next round
    // includes the sender.
    {
      std::lock_guard lock(m_mutex);
      const auto* sender = m_membership->Find(aMessage.m_members.front().m_incarnation);
      m_peerWithNewerSettings = sender ? *sender : aMessage.m_members.front();
    }
    m_thread->Wake();
  }
  return MakeMessage(zone, aMessage.m_generation, aMessage.m_shares.m_version);
}

void PeerService::ExchangeWith(const peer::MemberInfo& aPeer)
{
  const auto message =
    MakeMessage(aPeer.m_zone, ~std::uint64_t{ 0 }, std::numeric_limits<platform::Version>::max());
  const auto response = m_client.Exchange(PeerAddress(aPeer), message, kCallTimeout);
  if (response) {
    Receive(*response);
  }
}

void PeerService::RunExchangeRound()
{
  std::vector<peer::MemberInfo> partners;
  const std::string scope =
    m_deps.m_slotPool.HasUsableUnits() ? m_deps.m_ledger.CurrentScope() : std::string();
  const std::string load = m_deps.m_loadMeter.Report().ToText();
  {
    std::lock_guard lock(m_mutex);
    m_membership->UpdateSelf(scope, m_leaving, m_inheritedIncarnations, load);
    partners = m_membership->PickPartners([this] { return m_random(); });
    if (m_peerWithNewerSettings) {
      partners.push_back(*std::exchange(m_peerWithNewerSettings, std::nullopt));
    }
  }
  for (const peer::MemberInfo& partner : partners) {
    ExchangeWith(partner);
  }
  ProbeSuspects();
}

bool PeerService::IsReachable(const peer::MemberInfo& aSuspect)
{
  const peer::ProbeRequest request{ aSuspect.m_peerAddress };
  // A request without an address only tests whether the called member responds.
  if (m_client.Probe(PeerAddress(aSuspect), {}, kProbeTimeout)) {
    return true;
  }
  std::vector<peer::MemberInfo> helpers;
  {
    std::lock_guard lock(m_mutex);
    helpers = m_membership->PickPartners([this] { return m_random(); });
  }
  for (std::size_t i = 0; i < std::min(helpers.size(), kIndirectProbes); ++i) {
    const auto response = m_client.Probe(PeerAddress(helpers[i]), request, 2 * kProbeTimeout);
    if (response && response->m_reachable) {
      return true;
    }
  }
  return false;
}

void PeerService::ProbeSuspects()
{
  std::vector<peer::MemberInfo> suspects;
  {
    std::lock_guard lock(m_mutex);
    suspects = m_membership->Suspects(m_context.m_clock.Monotonic());
  }
  for (const peer::MemberInfo& suspect : suspects) {
    const bool reachable = IsReachable(suspect);
    std::lock_guard lock(m_mutex);
    const bool before = m_membership->Unreachable().count(suspect.m_incarnation) == 0;
    if (reachable) {
      m_membership->MarkReachable(suspect.m_incarnation, m_context.m_clock.Monotonic());
    } else {
      m_membership->MarkUnreachable(suspect.m_incarnation);
    }
    if (before != reachable) {
      Json::Value fields;
      fields["vm"] = suspect.m_id;
      m_context.m_events.Record(reachable ? "vm-reachable" : "vm-unreachable", fields);
    }
  }
  UpdateVmStates();
}

void PeerService::UpdateVmStates()
{
  const auto view = m_deps.m_directory.Current();
  const bool selfReady = m_deps.m_slotPool.HasUsableUnits();
  VmStates states;
  std::lock_guard lock(m_mutex);
  if (!m_membership) {
    return;
  }
  states.m_unusable = m_membership->Unreachable();
  for (const EntryVmRef& vm : view->m_entryVms) {
    const auto* member = m_membership->Find(vm.m_incarnation);
    // The platform's list may show later that a member leaves.
    if (member && member->m_leaving) {
      states.m_unusable.insert(vm.m_incarnation);
    }
    if (member && member->m_heartbeat > 0) {
      states.m_heard.insert(vm.m_incarnation);
    }
    const bool isSelf = vm.m_incarnation == m_context.m_incarnationText;
    if (isSelf ? selfReady : !member || !member->m_scope.empty()) {
      states.m_ready.insert(vm.m_incarnation);
    }
  }
  m_deps.m_directory.SetStates(std::move(states));
}

peer::ProbeResponse PeerService::OnProbe(const peer::ProbeRequest& aRequest)
{
  if (aRequest.m_peerAddress.empty()) {
    return { true };
  }
  const auto address = base::SocketAddress::Parse(aRequest.m_peerAddress);
  return { address && m_client.Probe(*address, {}, kProbeTimeout) };
}

peer::HandoverResponse PeerService::OnHandover(const peer::HandoverRequest& aRequest)
{
  if (m_leaving || !m_deps.m_ledger.Import(aRequest.m_transfer)) {
    return { false };
  }
  const policy::ExecutionScope exporter{ aRequest.m_transfer.m_exporter, 0 };
  const std::string text = exporter.ToString();
  const std::string incarnation = text.substr(0, text.find('-'));
  std::lock_guard lock(m_mutex);
  if (std::count(m_inheritedIncarnations.begin(), m_inheritedIncarnations.end(), incarnation) ==
      0) {
    m_inheritedIncarnations.push_back(incarnation);
  }
  Json::Value fields;
  fields["from"] = incarnation;
  m_context.m_events.Record("scopes-imported", fields);
  return { true };
}

std::vector<std::string> PeerService::ZoneLoads()
{
  std::lock_guard lock(m_mutex);
  return m_membership ? m_membership->ZoneLoads() : std::vector<std::string>();
}

std::string PeerService::ScopeOf(const std::string& aIncarnation)
{
  if (aIncarnation == m_context.m_incarnationText) {
    return m_deps.m_ledger.CurrentScope();
  }
  std::lock_guard lock(m_mutex);
  const auto* member = m_membership ? m_membership->Find(aIncarnation) : nullptr;
  return member ? member->m_scope : std::string();
}

std::string PeerService::SuccessorOf(const std::string& aIncarnation)
{
  std::lock_guard lock(m_mutex);
  const auto* successor = m_membership ? m_membership->FindSuccessor(aIncarnation) : nullptr;
  return successor ? successor->m_incarnation : std::string();
}

std::optional<peer::MemberInfo> PeerService::PickSuccessor()
{
  const auto view = m_deps.m_directory.Current();
  std::lock_guard lock(m_mutex);
  for (const EntryVmRef& vm : view->m_entryVms) {
    const auto* member = m_membership->Find(vm.m_incarnation);
    const bool isSelf = vm.m_incarnation == m_context.m_incarnationText;
    if (vm.m_site == m_context.m_site && !isSelf && m_deps.m_directory.IsUsable(vm) && member &&
        !member->m_leaving) {
      return *member;
    }
  }
  return std::nullopt;
}

bool PeerService::HandOver()
{
  const auto successor = PickSuccessor();
  const auto recipient = successor ? ToIncarnation(successor->m_incarnation) : std::nullopt;
  if (!recipient) {
    return false;
  }
  const auto transfer = m_deps.m_ledger.Export(*recipient);
  if (!transfer) {
    return false;
  }
  for (unsigned i = 0; i < kMaxHandoverCalls; ++i) {
    const auto response = m_client.Handover(PeerAddress(*successor), { *transfer }, kCallTimeout);
    if (response) {
      Json::Value fields;
      fields["to"] = successor->m_id;
      fields["accepted"] = response->m_accepted;
      m_context.m_events.Record("scopes-exported", fields);
      return response->m_accepted;
    }
  }
  return false;
}

Json::Value PeerService::ToJson()
{
  std::lock_guard lock(m_mutex);
  Json::Value json(Json::objectValue);
  json["members"] = Json::UInt64(m_membership ? m_membership->size() : 0);
  json["unreachable"] = Json::arrayValue;
  if (m_membership) {
    for (const std::string& incarnation : m_membership->Unreachable()) {
      const auto* member = m_membership->Find(incarnation);
      json["unreachable"].append(member ? member->m_id : incarnation);
    }
  }
  json["bytes"] = Json::UInt64(m_client.BytesTransferred());
  return json;
}

} // namespace jaylane::entry
