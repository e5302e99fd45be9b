#pragma once

#include "InfoServer.h"
#include "jaylane/policy/StoreRevision.h"

#include <compare>
#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace jaylane::gateway {

/// Responses with the objects of a snapshot, or the changes since a revision, for the peers that
/// ask for them after a change. Each is made once and compressed if the peers accept that. Not
/// thread safe.
class SnapshotResponses
{
public:
  /// Limits on the kept responses. Peers that ask after one change mostly have the revision of the
  /// change before.
  static constexpr std::size_t kMaxResponses = 8;
  /// A compressed response is far smaller. Three kinds of objects take at most 3% of the memory of
  /// a VM with 112 MB.
  static constexpr std::size_t kMaxBytes = 1 << 20;
  /// Smaller bodies fit into one packet with their head, so that compression saves no time.
  static constexpr std::size_t kMinCompressedBytes = 1200;

  /// @param aAfter revision that the text has the changes after; 0 if it has all objects.
  /// @param aAcceptsGzip whether the peer understands compressed bodies.
  /// @param aMakeText returns the JSON text; called unless the response is kept already.
  InfoResponse Get(policy::StoreRevision aAfter,
                   bool aAcceptsGzip,
                   const std::function<std::string()>& aMakeText);

  /// Drops all responses. To be called whenever the snapshot changes.
  void Clear();

private:
  struct Key
  {
    policy::StoreRevision m_after;
    bool m_acceptsGzip;

    auto operator<=>(const Key&) const = default;
  };

  /// Makes room for a response by removing others, those for the oldest revisions first.
  void Keep(const Key& aKey, const InfoResponse& aResponse);

  std::map<Key, InfoResponse> m_responses;
  std::size_t m_bytes = 0;
};

} // namespace jaylane::gateway
