#pragma once

#include "jaylane/base/Error.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace jaylane::testing {

/// State of a link. Applies to data on the way, too.
struct LinkConditions
{
  /// Nothing gets through. As in a network partition, connections stay open and their data
  /// arrives once the link works again.
  bool m_cut = false;
  /// One-way latency, in both directions.
  std::chrono::milliseconds m_delay{ 0 };
  /// Shared by all connections, each way; 0 for no limit.
  std::uint64_t m_bytesPerSecond = 0;
  /// A cut of one direction: from who connects to the target, or back.
  bool m_cutTowardsTarget = false;
  bool m_cutTowardsCaller = false;
};

struct LinkStats
{
  std::uint64_t m_accepted = 0;
  std::uint64_t m_bytes = 0;
};

/// TCP relay that stands for the network link between two places. Each route has an address
/// of its own and leads to one target. Thread safe.
class LinkRelay
{
public:
  /// @param aBindAddress IPv4 address that routes listen on.
  static base::Result<std::unique_ptr<LinkRelay>> Make(const std::string& aBindAddress);
  ~LinkRelay();

  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  /// @param aTarget "<IPv4 address>:<port>".
  /// @return address that leads to the target.
  base::Result<std::string> AddRoute(const std::string& aTarget);

  void SetConditions(const LinkConditions& aConditions);
  LinkConditions Conditions() const;

  /// Resets all connections.
  void ResetConnections();

  LinkStats Stats() const;

private:
  class Internals;
  explicit LinkRelay(std::unique_ptr<Internals> aInternals);

  std::unique_ptr<Internals> m_internals;
};

} // namespace jaylane::testing
