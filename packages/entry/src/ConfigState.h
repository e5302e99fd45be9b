#pragma once

#include "VmContext.h"
#include "jaylane/policy/BlockIndex.h"
#include "jaylane/policy/LegalFilter.h"
#include "jaylane/settings/SettingsDocument.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jaylane::entry {

/// Settings of a service, with values derived from them for fast access.
struct ServiceConfig
{
  settings::Service m_service;
  policy::LegalFilter m_legal;
  /// Settings of this VM's zone.
  settings::EffectiveSettings m_effective;
};

/// One generation of the settings, with values derived from it. Immutable.
struct Config
{
  settings::SettingsDocument m_document;
  policy::BlockIndex m_blocks;
  /// Names of the origin regions, by the origin index of m_blocks.
  std::vector<std::string> m_origins;
  std::map<std::string, ServiceConfig, std::less<>> m_services;

  /// @return the service, or nullptr.
  const ServiceConfig* FindService(std::string_view aName) const;
};

/// Network and region of a caller.
struct CallerOrigin
{
  /// The caller's /24 network, which is the unit of steering. Configured blocks may be as large as
  /// a region, and a shift could only move such a block as a whole.
  std::uint32_t m_block = 0;
  std::string m_region;
};

/// @param aCaller IPv4 address in dotted decimal form.
/// @return the caller's block and region, or nothing if no client block contains it.
std::optional<CallerOrigin> FindOrigin(const Config& aConfig, std::string_view aCaller);

/// The settings in effect. Only a higher generation replaces them. Thread safe.
class ConfigState
{
public:
  /// Upper bound on the difference between wall clocks of VMs. Legal rules take effect this much
  /// earlier, so that no VM applies them late.
  static constexpr std::chrono::milliseconds kMaxClockDifference{ 2000 };

  using ChangeHook = std::function<void(const Config&)>;

  explicit ConfigState(const VmContext& aContext);

  /// @param aHook called after a new generation was accepted, on the thread that applied it.
  void SetChangeHook(ChangeHook aHook);

  /// Replaces the settings if the text has a higher generation.
  /// @param aText value of the object settings/tree.
  /// @return whether it took effect; lower generations and invalid text are logged and ignored.
  bool Apply(const std::string& aText);

  /// @return the settings in effect, or nullptr before the first.
  std::shared_ptr<const Config> Current() const;

  /// @return generation in effect, 0 before the first.
  std::uint64_t Generation() const;

  /// @return text of the generation in effect, for peers; empty before the first.
  std::string CurrentText() const;

  /// Parses settings without applying them.
  /// @param aText as for Apply().
  /// @return the settings, or why the text is invalid.
  base::Result<std::shared_ptr<const Config>> Build(const std::string& aText) const;

private:
  const VmContext& m_context;
  mutable std::mutex m_mutex;
  std::shared_ptr<const Config> m_current;
  std::string m_text;
  ChangeHook m_hook;
};

} // namespace jaylane::entry
