#pragma once

#include "jaylane/policy/ExecutionScope.h"
#include "jaylane/policy/QuarantineList.h"
#include "jaylane/policy/ScopeTransfer.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaylane::peer {

/// State of an entry VM as it describes itself to its peers. Of two such states of a VM, the one
/// with the higher heartbeat is newer.
struct MemberInfo
{
  std::string m_id;
  std::string m_incarnation;
  std::string m_region;
  std::string m_zone;
  std::string m_peerAddress;
  /// Execution scope that lookups hand out for this VM; empty until it may use share units.
  std::string m_scope;
  std::uint64_t m_heartbeat = 0;
  bool m_leaving = false;
  /// Incarnations whose scopes this VM has taken over.
  std::vector<std::string> m_inherited;
  /// Load report of the VM. Sent only within a zone, otherwise empty.
  std::string m_load;

  /// @return a copy without id, region, zone and address, which the receiver knows from the
  /// platform's
  ///   list.
  MemberInfo WithoutIdentity() const
  {
    MemberInfo member(*this);
    member.m_id.clear();
    member.m_region.clear();
    member.m_zone.clear();
    member.m_peerAddress.clear();
    return member;
  }

  bool operator==(const MemberInfo&) const = default;
};

/// A versioned text, such as the share table of a zone.
struct VersionedText
{
  std::uint64_t m_version = 0;
  std::string m_text;

  bool operator==(const VersionedText&) const = default;
};

/// Request and response of an exchange, in which two VMs send each other their latest state.
struct ExchangeMessage
{
  /// Hybrid logical time of the sender (base::HybridStamp).
  std::string m_stamp;
  /// The sender first, then other members without their identity.
  std::vector<MemberInfo> m_members;
  /// Generation of the settings in effect at the sender.
  std::uint64_t m_generation = 0;
  /// Text of these settings in a response to a sender with a lower generation, otherwise empty.
  std::string m_settings;
  /// Share table of the zone. Sent only between VMs of a zone; the text only in a response to a
  /// sender with a lower version.
  VersionedText m_shares;
  std::vector<policy::Strike> m_strikes;
};

/// Request to check whether a VM responds.
struct ProbeRequest
{
  /// Peer address of the VM to be probed by the receiver. If empty, the receiver only responds.
  std::string m_peerAddress;
};

struct ProbeResponse
{
  bool m_reachable = false;
};

/// Request to lend slots of an upstream for a limited time, or to take back slots lent before.
struct BorrowRequest
{
  /// Unique within the borrower's incarnation.
  std::uint64_t m_id = 0;
  /// Incarnation of the borrower.
  std::string m_borrower;
  /// Id of the upstream.
  std::string m_upstream;
  /// Requests that wait for a slot at the borrower.
  std::uint32_t m_waiting = 0;
  /// Slots requested; 0 if the message only returns leases.
  std::uint32_t m_amount = 0;
  /// Requested duration of the leases.
  std::chrono::nanoseconds m_duration{ 0 };
  /// Leases of the upstream that end with this message.
  std::vector<std::uint64_t> m_returned;
};

struct BorrowResponse
{
  /// Incarnation of the lender.
  std::string m_lender;
  /// Ids of the granted leases, one for each slot; empty if none was granted.
  std::vector<std::uint64_t> m_leases;
  /// Duration of the leases.
  std::chrono::nanoseconds m_duration{ 0 };
};

/// Request to take over the execution scopes and keys of a VM that stops.
struct HandoverRequest
{
  policy::ScopeTransfer m_transfer;
};

struct HandoverResponse
{
  /// Whether the receiver has taken over the scopes.
  bool m_accepted = false;
};

} // namespace jaylane::peer
