#ifndef ANVIL_CTL_CLI_H
#define ANVIL_CTL_CLI_H

#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/net/Http.h"

namespace anvil::ctl {

/// Exit codes of anvilctl.
enum class ExitCode {
  Ok = 0,
  Refused =
      1,     ///< The system refused the call or its input; nothing was changed.
  Usage = 2, ///< The command line is wrong.
  Unreachable = 3, ///< No entry answered; nothing was changed.
  Unknown = 4, ///< The call may or may not have taken effect; repeating it with
               ///< the same id is safe.
  Failed = 5   ///< The awaited job ended without success.
};

/// One call to the HTTP interface of an entry.
struct ApiCall {
  std::string m_Method;
  std::string m_Target;
  std::vector<net::HttpField> m_Fields;
  std::string m_Body;
};

/// How a call ended.
struct ApiResult {
  bool m_Reached = false; ///< A whole response was received.
  bool m_AnySent = false; ///< Some byte of the call may have reached an entry.
  int m_Status = 0;
  std::string m_Body;
  std::string m_Error; ///< Why no response was received.
};

/// What the commands need from outside; tests replace all of it.
struct CliEnvironment {
  /// Calls the named entry ("ip:port") or, with an empty name, any entry of the
  /// settings.
  std::function<ApiResult(const std::string &Entry, const ApiCall &)> m_Call;
  std::vector<std::string>
      m_Entries; ///< All entries of the settings as "ip:port".
  std::function<std::optional<std::string>(const std::string &Path)> m_ReadFile;
  std::function<std::string()>
      m_NewId; ///< A fresh id for calls that change something.
  std::function<void(Duration)> m_Sleep;
  /// Asks a question on the terminal and returns whether the answer was yes.
  std::function<bool(const std::string &Question)> m_Confirm;
  std::ostream *m_Out = nullptr;
  std::ostream *m_Err = nullptr;
};

/// Settings that all commands share.
struct CliOptions {
  std::string m_Operator;
  bool m_Json = false; ///< `--output json`.
  bool m_Yes = false;  ///< `--yes`: no confirmation.
};

/// Runs one command, such as {"zone", "withdraw", "kochi"}.
ExitCode runCommand(const std::vector<std::string> &Words,
                    const CliOptions &Options,
                    const CliEnvironment &Environment);

/// Returns the overview of all commands with an example each.
std::string cliHelp();

/// Returns a completion script for bash.
std::string bashCompletion();

/// Returns JSON text as an aligned table: a row for each object of an array, or
/// a line for each field of an object.
std::string renderTable(std::string_view Json);

} // namespace anvil::ctl

#endif // ANVIL_CTL_CLI_H
