package main

import (
	"archive/tar"
	"errors"
	"io"
	"os"

	"github.com/klauspost/compress/zstd"
)

// archive packs a folder into a compressed file: logs and histories of a run together.
func archive(dir, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(writeArchive(file, dir), file.Close())
}

// writeArchive writes a folder as a compressed tar stream.
func writeArchive(w io.Writer, dir string) error {
	compressed, err := zstd.NewWriter(w)
	if err != nil {
		return err
	}
	files := tar.NewWriter(compressed)
	if err := files.AddFS(os.DirFS(dir)); err != nil {
		return errors.Join(err, compressed.Close())
	}
	return errors.Join(files.Close(), compressed.Close())
}
