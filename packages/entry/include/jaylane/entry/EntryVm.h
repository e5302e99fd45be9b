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

/// The daemon of an entry VM, with all its threads and connections.
class EntryVm
{
public:
  /// Binds the addresses and starts all threads.
  /// @param aSettings settings of this VM.
  /// @param aClock must outlive the VM.
  /// @return the VM, or why an address could not be bound.
  static base::Result<std::unique_ptr<EntryVm>> Make(const settings::VmSettings& aSettings,
                                                     const base::Clock& aClock);
  ~EntryVm();

  EntryVm(const EntryVm&) = delete;
  EntryVm& operator=(const EntryVm&) = delete;

  EntryAddresses Addresses() const;

  /// @return incarnation (random id) of this process, which the VM list has to show.
  const std::string& IncarnationText() const;

  /// Stops gracefully: removes this VM from lookup responses, waits until earlier responses have
  /// expired, closes the listeners, finishes all requests and transfers execution scopes and share
  /// units to other VMs.
  void Stop();

private:
  class Impl;
  explicit EntryVm(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> m_impl;
};

} // namespace jaylane::entry
