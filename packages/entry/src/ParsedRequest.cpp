#include "ParsedRequest.h"

#include "jaylane/base/Secrets.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <span>
#include <utility>

namespace jaylane::entry {

namespace {

constexpr std::string_view kRequestPrefix = "/s/";
constexpr std::string_view kJaylanePrefix = "jaylane-";

RequestResult Refuse(unsigned aStatus, std::string aError, std::string aMessage)
{
  return { Outcome::NotRun, aStatus, std::move(aError), std::move(aMessage), 0, {} };
}

/// @return whether another entry VM has checked the key and chosen this site.
bool IsAdmittedByPeer(const VmContext& aContext, const proxy::RequestHead& aHead)
{
  const auto forwarded = aHead.m_headers.Find(kForwardedHeader);
  return forwarded && base::EqualSecrets(*forwarded, aContext.m_settings.m_peerKey) &&
         !aHead.m_headers.Find(kScopeHopHeader);
}

std::optional<bool> ReadIdempotent(const proxy::RequestHead& aHead,
                                   const settings::Service& aService)
{
  const auto text = aHead.m_headers.Find(kIdempotentHeader);
  if (text == "true") {
    return true;
  }
  if (text == "false") {
    return false;
  }
  if (text) {
    return std::nullopt;
  }
  return aHead.m_method == "GET" || aHead.m_method == "HEAD" || aService.m_idempotentByDefault;
}

/// @param aLongest limit of the time that the caller may ask for.
/// @return the deadline, or nothing if the header is malformed.
std::optional<base::MonotonicTime> ReadDeadline(const proxy::Exchange& aExchange,
                                                std::chrono::milliseconds aLongest)
{
  const auto text = aExchange.Request().m_headers.Find(kDeadlineHeader);
  std::int64_t millis = aLongest.count();
  if (text) {
    const char* const last = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), last, millis);
    if (parsed.ec != std::errc{} || parsed.ptr != last || millis <= 0) {
      return std::nullopt;
    }
  }
  return aExchange.ReceivedAt() + std::min(aLongest, std::chrono::milliseconds{ millis });
}

policy::RequestFingerprint Fingerprint(const std::string& aService,
                                       const proxy::Exchange& aExchange)
{
  policy::BodyHasher hasher;
  const std::string prefix = aExchange.UploadPrefix();
  hasher.Update(std::as_bytes(std::span(prefix)));
  // Only the start of a long body is known before dispatch. Including the length distinguishes most
  // bodies that start alike.
  const std::uint64_t length = aExchange.UploadLength().value_or(0);
  hasher.Update(std::as_bytes(std::span(&length, 1)));
  const proxy::RequestHead& head = aExchange.Request();
  return policy::RequestFingerprint::Of(aService, head.m_method, head.m_target, hasher.Digest());
}

struct Target
{
  std::string m_service;
  std::string m_path;
};

std::optional<Target> SplitTarget(const std::string& aTarget)
{
  if (aTarget.compare(0, kRequestPrefix.size(), kRequestPrefix) != 0) {
    return std::nullopt;
  }
  const auto end = aTarget.find_first_of("/?", kRequestPrefix.size());
  const auto service = aTarget.substr(kRequestPrefix.size(), end - kRequestPrefix.size());
  std::string path = end == std::string::npos ? "/" : aTarget.substr(end);
  if (path.front() != '/') {
    path.insert(path.begin(), '/');
  }
  return Target{ service, std::move(path) };
}

/// Reads the key, which is required unless the request is idempotent. Both only matter at the VM
/// that the caller sent the request to.
/// @return the refusal, if the key is missing or malformed.
std::optional<RequestResult> ReadKey(const proxy::RequestHead& aHead, ParsedRequest& aRequest)
{
  const auto text = aHead.m_headers.Find(kKeyHeader);
  if (text) {
    auto key = policy::ParseRequestKey(*text);
    if (!key) {
      return Refuse(400, "malformed-key", key.GetError().Message());
    }
    aRequest.m_key = std::move(*key);
    aRequest.m_keyText = std::string(*text);
  } else if (!aRequest.m_idempotent) {
    return Refuse(400, "key-required", "a non-idempotent request needs the header Jaylane-Key");
  }
  return std::nullopt;
}

std::optional<RequestResult> ReadOrigin(const VmContext& aContext,
                                        const proxy::RequestHead& aHead,
                                        ParsedRequest& aRequest)
{
  const auto named = aHead.m_headers.Find(kCallerHeader);
  const bool trusted = aContext.m_settings.m_trustCallerHeader || aRequest.m_fromPeer;
  aRequest.m_caller = named && trusted ? std::string(*named) : aHead.m_clientHost;
  auto origin = FindOrigin(*aRequest.m_config, aRequest.m_caller);
  if (!origin) {
    // The legal rules cannot be checked without an origin, so the request is refused.
    return Refuse(403, "unknown-origin", "no client block contains the caller's address");
  }
  aRequest.m_origin = std::move(*origin);
  return std::nullopt;
}

} // namespace

std::optional<policy::ExecutionKey> UncheckedScopedKey(const VmContext& aContext,
                                                       const proxy::RequestHead& aHead)
{
  const auto text = aHead.m_headers.Find(kKeyHeader);
  if (!text || aHead.m_headers.Find(kIdempotentHeader) == "true" ||
      IsAdmittedByPeer(aContext, aHead)) {
    return std::nullopt;
  }
  const auto key = policy::ParseRequestKey(*text);
  const auto* scoped = key ? std::get_if<policy::ExecutionKey>(&*key) : nullptr;
  return scoped ? std::optional(*scoped) : std::nullopt;
}

proxy::HeaderList UpstreamHeaders(const proxy::HeaderList& aHeaders)
{
  proxy::HeaderList headers;
  for (const proxy::Header& header : aHeaders.Fields()) {
    const auto prefix = std::string_view(header.m_name).substr(0, kJaylanePrefix.size());
    if (!proxy::IsHopByHop(header.m_name) && !proxy::EqualsIgnoringCase(prefix, kJaylanePrefix)) {
      headers.Add(header.m_name, header.m_value);
    }
  }
  return headers;
}

std::variant<ParsedRequest, RequestResult> ParseRequest(std::shared_ptr<const Config> aConfig,
                                                        const VmContext& aContext,
                                                        const proxy::Exchange& aExchange)
{
  const proxy::RequestHead& head = aExchange.Request();
  if (!aConfig) {
    return Refuse(503, "no-settings", "this VM has not received the settings yet");
  }
  const auto target = SplitTarget(head.m_target);
  ParsedRequest request;
  request.m_config = std::move(aConfig);
  request.m_service = target ? request.m_config->FindService(target->m_service) : nullptr;
  if (!request.m_service) {
    return Refuse(404, "unknown-service", "the settings contain no such service");
  }
  const auto forwarded = head.m_headers.Find(kForwardedHeader);
  request.m_fromPeer = forwarded && base::EqualSecrets(*forwarded, aContext.m_settings.m_peerKey);
  request.m_admitted = IsAdmittedByPeer(aContext, head);
  if (forwarded && !request.m_fromPeer) {
    return Refuse(403, "not-a-peer", "the header Jaylane-Forwarded is reserved for entry VMs");
  }
  request.m_upstreamTarget = target->m_path;
  const auto idempotent = ReadIdempotent(head, request.m_service->m_service);
  const auto deadline = ReadDeadline(aExchange, request.m_service->m_effective.m_requestTimeout);
  if (!idempotent || !deadline) {
    return Refuse(
      400, "malformed-header", "Jaylane-Idempotent or Jaylane-Deadline-Ms is malformed");
  }
  request.m_idempotent = *idempotent;
  request.m_deadline = *deadline;
  if (auto refusal = ReadKey(head, request)) {
    return *refusal;
  }
  if (auto refusal = ReadOrigin(aContext, head, request)) {
    return *refusal;
  }
  request.m_fingerprint = Fingerprint(request.m_service->m_service.m_name, aExchange);
  return request;
}

} // namespace jaylane::entry
