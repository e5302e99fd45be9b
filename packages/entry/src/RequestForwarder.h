#pragma once

#include "Directory.h"
#include "ParsedRequest.h"
#include "jaylane/proxy/UpstreamTransport.h"

#include <functional>
#include <memory>

namespace jaylane::entry {

/// VM that a request is forwarded to.
struct ForwardTarget
{
  EntryVmRef m_vm;
  /// Limits the upload on a link between regions; empty within a region.
  std::function<std::size_t(std::size_t)> m_uploadAllowance;
  /// The other VM has to check the key, because it owns the key's scope. Otherwise this VM has
  /// checked it, and the other one only executes.
  bool m_keepKey = false;
};

/// Sends a request to another entry VM and passes its response on.
/// @param aDone receives the result, as the other VM reported it or as the connection ended.
/// @return false if too many attempts are in progress; aDone is not called then.
bool StartForward(const VmContext& aContext,
                  proxy::UpstreamTransport& aTransport,
                  const std::shared_ptr<proxy::Exchange>& aExchange,
                  const ParsedRequest& aRequest,
                  const ForwardTarget& aTarget,
                  std::function<void(const RequestResult&)> aDone);

} // namespace jaylane::entry
