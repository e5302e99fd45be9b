#pragma once

#include "jaylane/base/Error.h"

#include <string>

namespace jaylane::testing {

/// What the settings file of an entry VM says.
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

/// The only place that knows the keys of the settings file of a VM.
/// @param aPath file to write.
/// @param aSettings content; all addresses get port 0 of 127.0.0.1.
base::Status WriteEntrySettings(const std::string& aPath, const EntrySettings& aSettings);

} // namespace jaylane::testing
