#pragma once

#include "Directory.h"
#include "ParsedRequest.h"
#include "jaylane/proxy/UpstreamTransport.h"

#include <functional>
#include <memory>

namespace jaylane::entry {

/// Where and how to forward a request.
struct ForwardTarget
{
  EntryVmRef m_vm;
  /// Takes the number of bytes ready to be sent and returns how many may be sent now. Limits
  /// uploads on links between regions; empty within a region.
  std::function<std::size_t(std::size_t)> m_uploadAllowance;
  /// Whether the other VM has to check the key, because it owns the key's scope. Otherwise this VM
  /// has checked the key and the other one only executes the request.
  bool m_targetChecksKey = false;
};

/// Sends a request to another entry VM and forwards its response to the caller.
/// @param aDone receives the result as the other VM reported it, or one derived from how the
///   connection failed.
/// @return false if too many attempts are in progress; aDone is not called then.
bool StartForward(const VmContext& aContext,
                  proxy::UpstreamTransport& aTransport,
                  const std::shared_ptr<proxy::Exchange>& aExchange,
                  const ParsedRequest& aRequest,
                  const ForwardTarget& aTarget,
                  std::function<void(const RequestResult&)> aDone);

} // namespace jaylane::entry
