package command

import (
	"bufio"
	"bytes"
	"io"
	"os"

	"github.com/go-faster/errors"
)

// logLineMax is the longest line that is read.
const logLineMax = 1 << 20

// eachLogLine calls use with the JSON of each line of the files, or of standard
// input if none is named. Text before the first brace of a line is passed over,
// since log collectors put their own fields there. The line is valid only during
// the call.
func (a *App) eachLogLine(files []string, use func(line []byte)) error {
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open a log")
		}
		err = scanLog(f, use)
		_ = f.Close()
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
	}
	if len(files) == 0 {
		if err := scanLog(a.Stdin, use); err != nil {
			return errors.Wrap(err, "read the logs")
		}
	}
	return nil
}

func scanLog(r io.Reader, use func(line []byte)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, logLineMax)
	for s.Scan() {
		if at := bytes.IndexByte(s.Bytes(), '{'); at >= 0 {
			use(s.Bytes()[at:])
		}
	}
	return s.Err()
}
