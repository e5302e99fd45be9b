#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/base/Error.h"
#include "jaylane/base/SocketAddress.h"
#include "jaylane/settings/VmSettings.h"

#include <memory>

namespace jaylane::entry {

/// Addresses that an entry VM listens on.
struct EntryAddresses
{
  base::SocketAddress m_caller;
  base::SocketAddress m_peer;
  base::SocketAddress m_admin;
};

/// The daemon of an entry VM: all its threads and their connections.
class EntryVm
{
public:
  /// Binds the addresses and starts all threads.
  /// @param aSettings of this VM.
  /// @param aClock must outlive the VM.
  /// @return the VM, or why an address could not be bound.
  static base::Result<std::unique_ptr<EntryVm>> Make(const settings::VmSettings& aSettings,
                                                     const base::Clock& aClock);
  ~EntryVm();

  EntryVm(const EntryVm&) = delete;
  EntryVm& operator=(const EntryVm&) = delete;

  EntryAddresses Addresses() const;

  /// @return incarnation of this process, as it should appear in the VM list.
  const std::string& IncarnationText() const;

  /// Stops gracefully: leaves the lookups, waits until callers' copies of them have expired,
  /// closes the listeners, finishes all requests and gives away scopes and share units.
  void Stop();

private:
  class Impl;
  explicit EntryVm(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> m_impl;
};

} // namespace jaylane::entry
