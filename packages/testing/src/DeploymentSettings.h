#pragma once

#include "jaylane/base/Error.h"

#include <string>

namespace jaylane::testing {

/// Content of the settings file of an entry VM, beyond fixed values.
struct EntrySettings
{
  std::string m_id;
  std::string m_region;
  std::string m_zone;
  std::string m_platformUrl;
  std::string m_peerKey;
  std::string m_readToken;
  std::string m_writeToken;
};

/// Writes a settings file. All other code of this package is independent of its keys.
/// @param aPath file to write.
/// @param aSettings content; the entry VM listens on 127.0.0.1 with ports chosen by the kernel.
base::Status WriteEntrySettings(const std::string& aPath, const EntrySettings& aSettings);

} // namespace jaylane::testing
