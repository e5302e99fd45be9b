#pragma once

#include "ConfigState.h"
#include "Outcome.h"
#include "jaylane/policy/ExecutionKey.h"
#include "jaylane/policy/RequestFingerprint.h"
#include "jaylane/proxy/Exchange.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace jaylane::entry {

/// A validated request, with the values read from its head and the settings.
struct ParsedRequest
{
  std::shared_ptr<const Config> m_config;
  const ServiceConfig* m_service = nullptr;
  CallerOrigin m_origin;
  /// Address from which the origin is derived.
  std::string m_caller;
  /// Path and query of the request to the upstream.
  std::string m_upstreamTarget;
  bool m_idempotent = false;
  std::optional<policy::RequestKey> m_key;
  /// Value of the key header; empty without a key.
  std::string m_keyText;
  base::MonotonicTime m_deadline;
  policy::RequestFingerprint m_fingerprint;
  /// Whether another entry VM sent it.
  bool m_fromPeer = false;
  /// Whether an entry VM sent it that has already checked the key and chosen this site.
  bool m_admitted = false;
};

/// Parses and validates a request.
/// @param aConfig settings in effect, or nullptr.
/// @param aContext its settings decide whether the caller header is trusted.
/// @param aExchange the request.
/// @return the request, or the result to respond with.
std::variant<ParsedRequest, RequestResult> ParseRequest(std::shared_ptr<const Config> aConfig,
                                                        const VmContext& aContext,
                                                        const proxy::Exchange& aExchange);

/// Reads the scoped key of a request that ParseRequest() may have refused, so that the outcome of
/// an earlier copy can be looked up.
/// @param aContext this VM.
/// @param aHead the request.
/// @return the key; nothing for keys without a scope, for idempotent requests, and for requests
///   whose key another entry VM has checked.
std::optional<policy::ExecutionKey> UncheckedScopedKey(const VmContext& aContext,
                                                       const proxy::RequestHead& aHead);

/// @param aHeaders the caller's header fields.
/// @return the fields to send to an upstream: without hop-by-hop fields and those of jaylane.
proxy::HeaderList UpstreamHeaders(const proxy::HeaderList& aHeaders);

} // namespace jaylane::entry
