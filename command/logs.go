package command

import (
	"bufio"
	"bytes"
	"io"
	"os"

	"github.com/go-faster/errors"
)

// maxLogLineBytes is the maximum length of a log line; a longer one is an error.
const maxLogLineBytes = 1 << 20

// eachLogLine calls handle with the JSON of each line of the files, or of standard
// input if there are none. Text before the first brace of a line is skipped, since
// log collectors put their own fields there. The slice is valid only during the
// call of handle.
func (a *App) eachLogLine(files []string, handle func(line []byte)) error {
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open a log file")
		}
		err = scanLog(f, handle)
		_ = f.Close()
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
	}
	if len(files) == 0 {
		if err := scanLog(a.Stdin, handle); err != nil {
			return errors.Wrap(err, "read standard input")
		}
	}
	return nil
}

// scanLog calls handle for each line of r that has a brace.
func scanLog(r io.Reader, handle func(line []byte)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		if at := bytes.IndexByte(s.Bytes(), '{'); at >= 0 {
			handle(s.Bytes()[at:])
		}
	}
	return s.Err()
}
