#pragma once

#include "jaylane/base/Log.h"
#include "jaylane/settings/Diagnostic.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

/// IP address and port to listen on; port 0 lets the kernel choose a free port.
struct HostPort
{
  std::string m_host;
  std::uint16_t m_port = 0;

  /// @param aText "host:port" with an IPv4 address or "[IPv6]:port".
  /// @return the address, or nullopt if the text is malformed.
  static std::optional<HostPort> Parse(std::string_view aText);

  /// @return the form that Parse() reads.
  std::string ToString() const;

  bool operator==(const HostPort&) const = default;
};

enum class AdminRole
{
  Read,
  Write,
};

/// Bearer token of the administration API. The write role includes the read role.
struct AdminToken
{
  /// Recorded as the author of edits.
  std::string m_name;
  std::string m_token;
  AdminRole m_role = AdminRole::Read;
};

/// Settings of one entry VM, read once at start. Meaning, range and default of each key are in the
/// key table in VmKeys.cpp, from which docs/settings.md is generated.
struct VmSettings
{
  std::string m_id;
  std::string m_region;
  std::string m_zone;
  HostPort m_callerAddress;
  HostPort m_peerAddress;
  HostPort m_adminAddress;
  std::vector<std::string> m_storeUrls;
  std::string m_peerKey;
  std::vector<AdminToken> m_adminTokens;
  bool m_trustCallerHeader = false;
  std::uint32_t m_callerThreads = 0;
  std::uint32_t m_upstreamThreads = 0;
  std::uint32_t m_adminThreads = 0;
  std::uint32_t m_eventLogCapacity = 0;
  base::LogLevel m_logLevel = base::LogLevel::Info;

  /// @param aText YAML text.
  /// @param aFile file name for diagnostics.
  /// @return the settings, or all problems of the text.
  static Parsed<VmSettings> ParseYaml(std::string_view aText, std::string aFile);

  /// @param aPath file to read.
  /// @return the settings, or all problems of the file.
  static Parsed<VmSettings> LoadYaml(const std::string& aPath);
};

} // namespace jaylane::settings
