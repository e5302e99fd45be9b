#pragma once

#include "jaylane/base/Error.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace jaylane::testing {

/// Conditions that a link simulates. Changes of a cut or the rate also affect data in transit.
struct LinkConditions
{
  /// Simulates a network partition: no data passes, but connections stay open, and their data
  /// arrives when the cut ends.
  bool m_cut = false;
  /// One-way latency of each direction.
  std::chrono::milliseconds m_delay{ 0 };
  /// Rate limit of each direction, shared by all connections; 0 for none.
  std::uint64_t m_bytesPerSecond = 0;
  /// Cuts of one direction only: from the connecting client to the target, or back.
  bool m_cutTowardsTarget = false;
  bool m_cutTowardsClient = false;
  /// Loses what targets send. A connection on which something was lost stays silent for good.
  bool m_losesResponses = false;
};

struct LinkStats
{
  /// Connections accepted so far.
  std::uint64_t m_accepted = 0;
  /// Bytes forwarded so far, in both directions.
  std::uint64_t m_bytes = 0;
};

/// TCP relay that simulates a network link between two locations. Each route listens on an address
/// of its own and forwards to one target. Thread safe.
class LinkRelay
{
public:
  /// @param aBindAddress IPv4 address that routes listen on.
  static base::Result<std::unique_ptr<LinkRelay>> Make(const std::string& aBindAddress);
  ~LinkRelay();

  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  /// @param aTarget "<IPv4 address>:<port>".
  /// @return "<address>:<port>" of the new route, or an error if the target is malformed or the
  ///   relay cannot listen.
  base::Result<std::string> AddRoute(const std::string& aTarget);

  void SetConditions(const LinkConditions& aConditions);
  LinkConditions Conditions() const;

  /// Aborts all connections with a TCP reset.
  void ResetConnections();

  /// Makes all connections silent for good: they stay open, the relay acknowledges what arrives on
  /// them, and nothing passes. New connections work.
  void SilenceConnections();

  LinkStats Stats() const;

private:
  class Internals;
  explicit LinkRelay(std::unique_ptr<Internals> aInternals);

  std::unique_ptr<Internals> m_internals;
};

} // namespace jaylane::testing
