#ifndef ANVIL_TESTS_STORE_FAKEFILESYSTEM_H
#define ANVIL_TESTS_STORE_FAKEFILESYSTEM_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "anvil/store/FileSystem.h"

namespace anvil::store {

/// Keeps files in memory and knows which bytes would survive a crash.
///
/// Usage: run the code under test, call crash() to lose what was not synced,
/// and open the store again. m_FailAfter makes the n-th changing call fail with
/// m_Failure; a failed append leaves half of its bytes.
class FakeFileSystem : public FileSystem {
public:
  struct FileData {
    std::string m_Content;
    size_t m_SyncedBytes = 0;
  };
  using Files = std::map<std::string, std::shared_ptr<FileData>>;

  absl::StatusOr<std::unique_ptr<AppendFile>>
  openAppend(const std::string &Name) override;
  absl::StatusOr<std::string> read(const std::string &Name) override;
  absl::Status truncate(const std::string &Name, uint64_t Size) override;
  absl::Status rename(const std::string &From, const std::string &To) override;
  absl::Status remove(const std::string &Name) override;
  absl::StatusOr<std::vector<std::string>> list() override;
  absl::Status syncDirectory() override;
  absl::StatusOr<std::unique_ptr<DirectoryLock>> lock() override;

  /// Loses unsynced names and bytes; \p Keep returns how many of the given
  /// unsynced bytes happen to survive.
  void crash(const std::function<size_t(size_t)> &Keep);
  /// Counts a changing call and fails it if it is the chosen one.
  absl::Status change();

  Files m_Files;        ///< As the running process sees them.
  Files m_DurableNames; ///< Names as of the last directory sync.
  int m_Changes = 0;
  int m_FailAfter = -1; ///< Number of the changing call that fails; -1 is none.
  absl::Status m_Failure =
      absl::ResourceExhaustedError("no space left on device");
  std::shared_ptr<bool> m_Locked = std::make_shared<bool>(false);
};

} // namespace anvil::store

#endif // ANVIL_TESTS_STORE_FAKEFILESYSTEM_H
