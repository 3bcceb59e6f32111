#ifndef ANVIL_DAEMON_SETTINGS_H
#define ANVIL_DAEMON_SETTINGS_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "anvil/base/LayerError.h"
#include "anvil/base/Time.h"
#include "anvil/net/Endpoint.h"

namespace anvil {

namespace daemon {

/// Why the settings of a process were not accepted.
enum class SettingsErrc { Invalid = 1 };

} // namespace daemon

template <> struct LayerErrorTraits<daemon::SettingsErrc> {
  static constexpr std::string_view Layer = "settings";
};

namespace daemon {

/// Parses the text of one setting and stores the value. The message of an error
/// completes "--NAME: ...", such as "must be true or false".
using SettingParser = std::function<absl::Status(std::string_view)>;

/// What the command line asks a process to do.
enum class StartMode {
  Run,        ///< Serve until a signal arrives.
  CheckOnly,  ///< `--check`: the settings are valid; exit with 0.
  ShowHelp,   ///< `--help`: print Settings::help() and exit with 0.
  ShowVersion ///< `--version`: print the version and exit with 0.
};

/// Whether a process can start without a value for a setting.
enum class Presence { Optional, Required };

/// Reads the settings of a process from command-line flags and `ANVIL_*`
/// environment variables; flags take precedence.
///
/// A setting is declared once with its name, default, help text and
/// destination. The flag is `--NAME`; the variable is `ANVIL_NAME` in upper
/// case with underscores. read() checks all settings and reports every
/// invalid one in a single status. Usage:
///
///     Settings Reader("anvil-entry", "Routes requests to minions.");
///     Reader.addEndpoint("listen", "127.0.0.1:8080", "Listener address.",
///                        Options.m_Listen);
///     absl::StatusOr<StartMode> Mode =
///         Reader.read({argv + 1, argv + argc}, environmentVariable);
///
/// The destinations must outlive the call to read().
class Settings {
public:
  /// Returns the value of an environment variable, or nothing if it is not set.
  using Environment =
      std::function<std::optional<std::string>(const std::string &)>;
  /// A check that involves several settings, run once each of them is valid on
  /// its own; returns the problem or OK.
  using Check = std::function<absl::Status()>;

  Settings(std::string_view Program, std::string_view Description);

  /// Declares a setting with a custom parser. An empty \p Default is not
  /// parsed.
  void add(std::string_view Name, std::string_view Default,
           std::string_view Help, SettingParser Parser,
           Presence Needed = Presence::Optional);

  /// Declares a string; a required string must not be empty.
  void addText(std::string_view Name, std::string_view Default,
               std::string_view Help, std::string &Value,
               Presence Needed = Presence::Optional);
  /// Declares an identifier of 1 to 64 letters, digits, '-', '_' or '.'.
  void addName(std::string_view Name, std::string_view Default,
               std::string_view Help, std::string &Value,
               Presence Needed = Presence::Required);
  /// Declares an integer from \p Min to \p Max.
  void addInteger(std::string_view Name, int64_t Default, int64_t Min,
                  int64_t Max, std::string_view Help, int64_t &Value);
  /// Declares a decimal number from \p Min to \p Max.
  void addNumber(std::string_view Name, double Default, double Min, double Max,
                 std::string_view Help, double &Value);
  /// Declares "true" or "false"; a flag without a value means true.
  void addSwitch(std::string_view Name, std::string_view Help, bool &Value,
                 bool Default = false);
  /// Declares a duration with a unit: "250us", "250ms", "10s", "5m" or
  /// "2h".
  void addDuration(std::string_view Name, std::string_view Default,
                   Duration Min, Duration Max, std::string_view Help,
                   Duration &Value);
  /// Declares "ip:port".
  void addEndpoint(std::string_view Name, std::string_view Default,
                   std::string_view Help, net::Endpoint &Value,
                   Presence Needed = Presence::Required);
  /// Declares a comma-separated list of "ip:port"; a required list has at least
  /// one element.
  void addEndpoints(std::string_view Name, std::string_view Default,
                    std::string_view Help, std::vector<net::Endpoint> &Value,
                    Presence Needed = Presence::Required);
  /// Adds a check that involves several settings.
  void addCheck(Check Rule);

  /// Parses \p Arguments (without the program name) and the variables that
  /// \p GetVariable returns, and stores the values.
  /// \returns kInvalidArgument (SettingsErrc::Invalid) with one line for each
  /// invalid setting that names the flag, the source of the value and the
  /// problem.
  absl::StatusOr<StartMode> read(const std::vector<std::string> &Arguments,
                                 const Environment &GetVariable) const;

  /// Returns the help text with the flag, variable and default of each setting.
  std::string help() const;

private:
  struct Setting {
    std::string m_Name;
    std::string m_Variable;
    std::string m_Default;
    std::string m_Help;
    SettingParser m_Parser;
    Presence m_Needed = Presence::Optional;
    bool m_Switch = false;
  };
  struct FlagValues {
    std::map<std::string, std::string> m_Values;
    std::vector<std::string>
        m_UnmatchedWords; ///< Arguments that belong to no flag.
  };

  absl::StatusOr<FlagValues>
  parseFlags(const std::vector<std::string> &Arguments) const;
  absl::Status readSetting(const Setting &Declared, const FlagValues &Flags,
                           const Environment &GetVariable) const;

  std::string m_Program;
  std::string m_Description;
  std::vector<Setting> m_Settings;
  std::vector<Check> m_Checks;
};

/// Returns a variable of this process's environment, or nothing if it is not
/// set.
std::optional<std::string> environmentVariable(const std::string &Name);

/// Parses a duration such as "250ms"; units are us, ms, s, m and h.
/// \returns kInvalidArgument if the text is not a whole number with a unit or
/// exceeds 100 years.
absl::StatusOr<Duration> parseDuration(std::string_view Text);

/// Formats a duration in the largest unit that yields a whole number,
/// such as "1500ms" or "2h".
std::string formatDuration(Duration Value);

/// Prints the help, the version, the result of the check or the error in
/// \p Mode, unless the process has to run.
/// \returns the exit code: 0 after help, version and check, 2 for invalid
/// settings; nothing if the process has to run.
std::optional<int> finishStart(const Settings &Reader,
                               const absl::StatusOr<StartMode> &Mode,
                               std::string_view Program);

} // namespace daemon
} // namespace anvil

#endif // ANVIL_DAEMON_SETTINGS_H
