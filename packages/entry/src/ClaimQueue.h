#pragma once

#include "VmContext.h"
#include "jaylane/base/BoundedRing.h"
#include "jaylane/platform/ClaimRegistry.h"
#include "jaylane/platform/Store.h"

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace jaylane::entry {

/// Claims keys without a scope in the store, so that each is used at most once. Store calls block,
/// so they are made by a few threads; a full queue refuses further claims.
class ClaimQueue
{
public:
  enum class Result
  {
    /// This VM created the claim and may run the request.
    Claimed,
    /// The key was used before.
    AlreadyClaimed,
    /// No claim was made and none will take effect later.
    Unavailable,
  };

  using Done = std::function<void(Result)>;

  ClaimQueue(const VmContext& aContext, platform::Store& aStore);

  /// Finishes all claims that were submitted.
  ~ClaimQueue();

  /// Replaces the limits; they also apply to claims that wait.
  void Configure(const platform::ClaimOptions& aOptions);

  /// Deletes expired claims. Blocks on store calls; to be called periodically from one thread.
  void CleanUp();

  /// Queues a claim.
  /// @param aKey the caller's key.
  /// @param aDone receives the result, on a thread of the queue.
  /// @return false if too many claims are waiting; aDone is not called then.
  bool Submit(std::string aKey, Done aDone);

private:
  struct Claim
  {
    std::string m_key;
    Done m_done;
  };

  void Run();
  Result Execute(const std::string& aKey);
  std::shared_ptr<platform::ClaimRegistry> Registry() const;

  const VmContext& m_context;
  platform::Store& m_store;
  base::BoundedRing<Claim> m_claims;
  mutable std::mutex m_mutex;
  std::shared_ptr<platform::ClaimRegistry> m_registry;
  std::vector<std::thread> m_threads;
};

} // namespace jaylane::entry
