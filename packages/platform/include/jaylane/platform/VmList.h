#pragma once

#include "jaylane/base/Error.h"

#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::platform {

enum class VmRole
{
  Entry,
  Upstream,
};

enum class VmState
{
  Running,
  Leaving,
};

/// One VM in the platform's list. The list is updated with a delay, so the VM itself may already
/// have changed or stopped.
struct VmEntry
{
  std::string m_id;
  VmRole m_role = VmRole::Entry;
  /// Service of an upstream; empty for entry VMs.
  std::string m_service;
  std::string m_region;
  std::string m_zone;
  /// Address for requests.
  std::string m_address;
  /// Address for calls of other entry VMs.
  std::string m_peerAddress;
  /// Address of the admin API.
  std::string m_adminAddress;
  VmState m_state = VmState::Running;
  std::uint32_t m_slots = 0;
  std::uint32_t m_connections = 0;
  /// Id of one run of the VM: differs after a replacement or restart.
  std::string m_incarnation;

  bool operator==(const VmEntry&) const = default;

  /// @return the JSON object that the platform uses for the VM.
  Json::Value ToJson() const;
};

/// The platform's list of VMs.
struct VmList
{
  std::vector<VmEntry> m_vms;

  bool operator==(const VmList&) const = default;

  /// @param aJson {"vms":[...]}.
  /// @return the list, or Malformed if any VM lacks an id, a role or a state.
  static base::Result<VmList> Parse(const Json::Value& aJson);

  /// @param aText JSON text of the list.
  /// @return as Parse(const Json::Value&).
  static base::Result<VmList> Parse(std::string_view aText);

  /// @return {"vms":[...]}.
  Json::Value ToJson() const;
};

} // namespace jaylane::platform
