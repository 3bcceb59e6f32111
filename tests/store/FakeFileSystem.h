#ifndef ANVIL_TESTS_STORE_FAKEFILESYSTEM_H
#define ANVIL_TESTS_STORE_FAKEFILESYSTEM_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "anvil/store/FileSystem.h"

namespace anvil::store {

/// Keeps files in memory and tracks which names and bytes are durable.
///
/// Usage: run the code under test, call crash() to discard unsynced data, and
/// open the store again. With m_FailingChange set to n, the n-th modifying call
/// fails with m_Failure; a failed append leaves half of its bytes.
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
  absl::Status rename(const std::string &OldName,
                      const std::string &NewName) override;
  absl::Status remove(const std::string &Name) override;
  absl::StatusOr<std::vector<std::string>> list() override;
  absl::Status syncDirectory() override;
  absl::StatusOr<std::unique_ptr<DirectoryLock>> lock() override;

  /// Discards unsynced names and bytes. \p KeptBytes gets the number of
  /// unsynced bytes of a file and returns how many of them survive.
  void crash(const std::function<size_t(size_t)> &KeptBytes);
  /// Counts a modifying call. Returns m_Failure if it is the one that fails.
  absl::Status countChange();

  Files m_Files;        ///< Files as the running process sees them.
  Files m_DurableNames; ///< Names as of the last directory sync.
  int m_ChangeCount = 0;
  int m_FailingChange =
      -1; ///< Number of the modifying call that fails; -1 if none.
  absl::Status m_Failure =
      absl::ResourceExhaustedError("no space left on device");
  std::shared_ptr<bool> m_Locked = std::make_shared<bool>(false);
};

} // namespace anvil::store

#endif // ANVIL_TESTS_STORE_FAKEFILESYSTEM_H
