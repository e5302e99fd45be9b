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

/// A caller's request, checked against the settings.
struct ParsedRequest
{
  std::shared_ptr<const Config> m_config;
  const ServiceConfig* m_service = nullptr;
  CallerOrigin m_origin;
  /// Address that decides the origin.
  std::string m_caller;
  /// Path with the query at the upstream.
  std::string m_upstreamTarget;
  bool m_idempotent = false;
  std::optional<policy::RequestKey> m_key;
  std::string m_keyText;
  base::MonotonicTime m_deadline;
  policy::RequestFingerprint m_fingerprint;
  /// Sent by another entry VM.
  bool m_fromPeer = false;
  /// Sent by a peer that has checked the key and steered the request here.
  bool m_admitted = false;
};

/// @param aConfig settings in effect, or nullptr.
/// @param aContext this VM; its settings tell whether the caller header is trusted.
/// @param aExchange the request.
/// @return the request, or the result to answer with.
std::variant<ParsedRequest, RequestResult> ParseRequest(std::shared_ptr<const Config> aConfig,
                                                        const VmContext& aContext,
                                                        const proxy::Exchange& aExchange);

/// Reads the key of a request that ParseRequest() may have refused, for its owner to look up.
/// @param aContext this VM.
/// @param aHead the request.
/// @return the scoped key; nothing for other keys, for idempotent requests, and for requests whose
/// key a peer has checked.
std::optional<policy::ExecutionKey> UncheckedScopedKey(const VmContext& aContext,
                                                       const proxy::RequestHead& aHead);

/// @param aRequest the caller's header fields.
/// @return the fields to pass to an upstream: without those of the connection and of jaylane.
proxy::HeaderList UpstreamHeaders(const proxy::HeaderList& aHeaders);

} // namespace jaylane::entry
