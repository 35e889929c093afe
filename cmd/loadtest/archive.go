package main

import (
	"archive/tar"
	"errors"
	"io"
	"os"

	"github.com/klauspost/compress/zstd"
)

// archive packs a directory, such as the logs and histories of a run, into a zstd-compressed tar file.
func archive(dir, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(writeArchive(file, dir), file.Close())
}

// writeArchive writes a directory as a zstd-compressed tar stream.
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
