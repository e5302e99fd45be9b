#pragma once

#include "jaylane/policy/ExecutionScope.h"
#include "jaylane/policy/QuarantineList.h"
#include "jaylane/policy/ScopeTransfer.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaylane::peer {

/// What a VM says about itself; the heartbeat orders its versions.
struct MemberInfo
{
  std::string m_id;
  std::string m_incarnation;
  std::string m_region;
  std::string m_zone;
  std::string m_peerAddress;
  /// Execution scope that lookups hand out for this VM.
  std::string m_scope;
  std::uint64_t m_heartbeat = 0;
  bool m_leaving = false;
  /// Incarnations whose scopes this VM has taken over.
  std::vector<std::string> m_inherited;
  /// Measured load, only in messages within a zone; else empty.
  std::string m_load;

  /// @return the member without id, region, zone and address, which the receiver has from the
  ///   platform's list.
  MemberInfo WithoutIdentity() const
  {
    MemberInfo news(*this);
    news.m_id.clear();
    news.m_region.clear();
    news.m_zone.clear();
    news.m_peerAddress.clear();
    return news;
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

/// One half of an exchange between two VMs. Request and response have the same form.
struct ExchangeMessage
{
  std::string m_stamp;
  /// The sender in front; the others without their identity.
  std::vector<MemberInfo> m_members;
  /// Generation of the settings that the sender applies.
  std::uint64_t m_generation = 0;
  /// The settings, in a response to a sender with a lower generation; else empty.
  std::string m_settings;
  /// Share table of the sender's zone, only between VMs of a zone; the text only in a response to a
  /// sender with a lower version.
  VersionedText m_shares;
  std::vector<policy::Strike> m_strikes;
};

/// Request to try whether a third VM responds.
struct ProbeRequest
{
  std::string m_peerAddress;
};

struct ProbeResponse
{
  bool m_reachable = false;
};

/// Request for slots of an upstream, for a limited time.
struct BorrowRequest
{
  std::uint64_t m_id = 0;
  std::string m_borrower;
  std::string m_upstream;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_amount = 0;
  std::chrono::nanoseconds m_duration{ 0 };
  /// Leases given back with this message.
  std::vector<std::uint64_t> m_returned;
};

struct BorrowResponse
{
  std::string m_lender;
  std::vector<std::uint64_t> m_leases;
  std::chrono::nanoseconds m_duration{ 0 };
};

/// Scopes and keys of a stopping VM.
struct HandoverRequest
{
  policy::ScopeTransfer m_transfer;
};

struct HandoverResponse
{
  bool m_accepted = false;
};

} // namespace jaylane::peer
